package entry

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"jaylink/decision"
	"jaylink/decision/route"
	"jaylink/hosting"
	"jaylink/kernel"
	"jaylink/peer"
	"jaylink/peer/peerpb"
	"jaylink/upstream"
)

const (
	readHeaderTimeout   = 10 * time.Second
	idleTimeout         = 2 * time.Minute
	maintenanceInterval = 10 * time.Second
	// headerReadMargin is the number of bytes beyond limits.header that are
	// still read, so that the response can say why the request was refused.
	headerReadMargin = 64 << 10
)

// Entry is one entry process. It accepts requests from callers and forwards
// them to upstreams.
type Entry struct {
	settings  Settings
	log       *slog.Logger
	metrics   *counters
	config    *configStore
	records   *registry
	driver    *driver
	decisions *decisionLog
	platform  *hosting.Client
	upstreams *upstream.Client
	peers     *peer.Node
	claims    *claimStore
	// operators maps credentials to names of operators. If it is nil, the
	// operator port asks for no credential.
	operators map[string]string
	// incarnation tells this process from earlier ones of the same name;
	// started is its start time.
	incarnation    uint64
	started        time.Time
	leaving        atomic.Bool
	drainRequested chan struct{} // closed when an operator requests a drain
	drainOnce      sync.Once
	reclaims       *reclaimNotices

	signs *signStore
	loads *loadStore
	// fleetUsage exchanges the number of requests in flight per customer
	// with other entries, for limits that apply to the whole fleet.
	fleetUsage *usageExchange
	pollPlan   *pollPlan // used only by the load polling loop
	// lastNotice is the sequence number of the latest reclaim notice.
	lastNotice atomic.Uint64

	// background is canceled at the end of a shutdown, when the entry has
	// nothing left to do.
	background context.Context
	cancel     context.CancelFunc
	work       sync.WaitGroup // background goroutines

	listeners [3]net.Listener // caller, operator and peer port
	caller    *http.Server
	operator  *http.Server
}

// New returns an entry for settings that have been validated.
func New(s Settings, log *slog.Logger) (*Entry, error) {
	cfg, err := buildChain(s)
	if err != nil {
		return nil, oops.In("entry").With("step", "plugins").Wrap(err)
	}
	e := newEntry(s, log.With("entry", s.Name, "availability_zone", s.AvailabilityZone))
	e.addDriver(cfg)
	if file := s.Operators.CredentialsFile; file != "" {
		if e.operators, err = readOperators(file); err != nil {
			return nil, oops.In("entry").With("step", "operators").Wrap(err)
		}
	}
	credentials, err := peerCredentials(s.PeerTLS)
	if err != nil {
		return nil, oops.In("entry").With("step", "peer_tls").Wrap(err)
	}
	e.addPeers(credentials)
	e.registerGauges()
	return e, nil
}

// newEntry returns an entry with the components that depend on no other
// component.
func newEntry(s Settings, log *slog.Logger) *Entry {
	e := &Entry{
		settings:       s,
		log:            log,
		metrics:        newCounters(),
		config:         newConfigStore(log),
		records:        newRegistry(int(s.Limits.Kept)),
		platform:       hosting.New(s.Platform).InZone(s.AvailabilityZone),
		reclaims:       newReclaimNotices(),
		drainRequested: make(chan struct{}),
		loads:          newLoadStore(),
		decisions:      newDecisionLog(s.Name, s.Record.Decisions),
		started:        time.Now(),
	}
	e.incarnation = uint64(e.started.UnixNano())
	e.upstreams = upstream.New(e.interRegionTraffic)
	e.signs = newSignStore(s.Name, log, e.decisions)
	e.background, e.cancel = context.WithCancel(context.Background())
	e.claims = newClaimStore(e.background, &e.work, e.platform, log)
	return e
}

// addDriver adds the decision core and connects the sources of its events.
func (e *Entry) addDriver(cfg decision.Config) {
	cfg.Observer = &decisionObserver{decisions: e.decisions, table: func() *route.Table { return e.driver.core.Table() }}
	e.driver = &driver{
		core: decision.New(cfg), records: e.records, metrics: e.metrics, log: e.log,
		decisions: e.decisions, usage: newUsageCounts(),
		dispatch: e.dispatch, claim: e.startClaim, endClaim: e.endClaim, reportCrash: e.broadcastCrash,
		moveStream: e.moveStream,
	}
	e.signs.step, e.loads.step = e.driver.step, e.driver.step
	e.signs.catalog = e.config.catalog
	e.signs.onReclaimNotice = e.handleReclaimNotice
	e.config.onChange = e.signs.configChanged
	e.fleetUsage = &usageExchange{own: e.driver.inFlightByCustomer, step: e.driver.step, lastReport: map[string]time.Time{}}
}

// addPeers adds the node that communicates with other entries.
func (e *Entry) addPeers(credentials *peer.Credentials) {
	s := e.settings
	source, _, _ := net.SplitHostPort(s.Listen.Peer)
	e.peers = peer.New(peer.Options{
		Self: &peerpb.Member{
			Name: s.Name, Address: cmp.Or(s.Advertise.Peer, s.Listen.Peer), AvailabilityZone: s.AvailabilityZone, Region: s.Region,
			Incarnation: e.incarnation, CallerAddress: s.Listen.Caller,
		},
		Seeds:     s.Peers,
		Heartbeat: s.Intervals.Heartbeat.Std(),
		Config:    e.config,
		Signs:     e.signs,
		Loads:     e.loads,
		Usages:    e.fleetUsage,
		Log:       e.log,
		Changed:   e.peersChanged,

		Credentials: credentials,
		Source:      source,
	})
	e.registerHandover(e.peers.Server())
	e.signs.broadcast = e.peers.PushSigns
}

// peerCredentials loads the TLS credentials for peer connections. It returns
// nil if the settings allow plaintext.
func peerCredentials(s PeerTLSSettings) (*peer.Credentials, error) {
	if s.Plaintext {
		return nil, nil
	}
	return peer.LoadCredentials(s.Certificate, s.Key, s.Authority)
}

func (e *Entry) peersChanged() {
	e.driver.step(decision.EntriesEvent{Live: 1 + len(e.peers.Live())})
}

// Start implements kernel.Starter: it opens the listeners and starts the
// background loops.
func (e *Entry) Start(context.Context) error {
	addresses := []string{e.settings.Listen.Caller, e.settings.Listen.Operator, e.settings.Listen.Peer}
	for i, address := range addresses {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return oops.In("entry").With("step", "listen", "peer", address).Wrap(err)
		}
		e.listeners[i] = ln
	}
	e.caller = e.newServer(e.closeWhenLeaving(e.callerHandler()))
	e.operator = e.newServer(e.limitWriteTime(e.operatorHandler()))
	registerCrashServer(e.peers.Server(), e.driver.step)
	e.peers.Serve(e.listeners[2])
	e.work.Go(func() { e.serve(e.caller, e.listeners[0]) })
	e.work.Go(func() { e.serve(e.operator, e.listeners[1]) })
	e.startLoops()
	e.log.Info("entry started", "caller", e.settings.Listen.Caller, "operator", e.settings.Listen.Operator,
		"peer", e.settings.Listen.Peer)
	return nil
}

func (e *Entry) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(e.settings.Limits.Header) + headerReadMargin,
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
}

func (e *Entry) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		e.log.Error("HTTP server failed", "err", err)
	}
}

func (e *Entry) startLoops() {
	ctx, in := e.background, e.settings.Intervals
	e.work.Go(func() { e.runReader(ctx, "watch", e.readConfig) })
	e.work.Go(func() { e.runReader(ctx, "notices", e.watchNotices) })
	e.work.Go(func() { e.runReader(ctx, "hosts", e.pollHosts) })
	e.work.Go(func() { newEngineReconciler(e).run(ctx) })
	e.work.Go(func() { runEvery(ctx, in.Load.Std(), e.pollLoad) })
	e.work.Go(func() {
		runEvery(ctx, time.Second, func(context.Context) {
			e.signs.expire()
			e.fleetUsage.expire(time.Now())
		})
	})
	e.work.Go(func() { runEvery(ctx, maintenanceInterval, e.runMaintenance) })
}

// runMaintenance deletes expired records and passes the current number of
// entries to the core.
func (e *Entry) runMaintenance(context.Context) {
	e.records.expire(time.Now().Add(-e.settings.Intervals.Retain.Std()))
	e.peersChanged()
}

var (
	_ kernel.Starter = (*Entry)(nil)
	_ kernel.Stopper = (*Entry)(nil)
)
