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
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	forgetInterval    = 10 * time.Second
	// headerSlack is how far over the limit a request's headers are still
	// read, in bytes, so that the refusal can say why.
	headerSlack = 64 << 10
)

// Entry is one entry process.
type Entry struct {
	settings  Settings
	log       *slog.Logger
	metrics   *counters
	config    *configStore
	records   *registry
	driver    *driver
	decisions *decisionRecord
	platform  *hosting.Client
	upstreams *upstream.Client
	peers     *peer.Node
	claims    *claimBook
	// operators has names by credential; nil lets everyone in.
	operators map[string]string
	// incarnation and started identify this process and say since when it runs.
	incarnation uint64
	started     time.Time
	leaving     atomic.Bool
	leave       chan struct{}
	leaveOnce   sync.Once
	reclaims    *reclaims

	signs *signStore
	loads *loadStore
	// shared exchanges the use of fleet limits with other entries.
	shared *usageExchange
	polls  *pollPlan // of the loop that polls
	// noticesSeen is the sequence of the last reclaim notice.
	noticesSeen atomic.Uint64

	// background ends when the entry has nothing left to do.
	background context.Context
	cancel     context.CancelFunc
	work       sync.WaitGroup

	listeners [3]net.Listener
	caller    *http.Server
	operator  *http.Server
}

// New builds an entry from settings that have been checked.
func New(s Settings, log *slog.Logger) (*Entry, error) {
	cfg, err := chain(s)
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

// newEntry returns an entry with the parts that need no other one.
func newEntry(s Settings, log *slog.Logger) *Entry {
	e := &Entry{
		settings:  s,
		log:       log,
		metrics:   newCounters(),
		config:    newConfigStore(log),
		records:   newRegistry(int(s.Limits.Kept)),
		platform:  hosting.New(s.Platform).InZone(s.AvailabilityZone),
		reclaims:  newReclaims(),
		leave:     make(chan struct{}),
		loads:     newLoadStore(),
		decisions: newDecisionRecord(s.Name, s.Record.Decisions),
		started:   time.Now(),
	}
	e.incarnation = uint64(e.started.UnixNano())
	e.upstreams = upstream.New(e.linkTraffic)
	e.signs = newSignStore(s.Name, log, e.decisions)
	e.background, e.cancel = context.WithCancel(context.Background())
	e.claims = newClaimBook(e.background, &e.work, e.platform, log)
	return e
}

// addDriver adds the decision core and what passes events to it.
func (e *Entry) addDriver(cfg decision.Config) {
	cfg.Observer = &observer{decisions: e.decisions, table: func() *route.Table { return e.driver.core.Table() }}
	e.driver = &driver{
		core: decision.New(cfg), records: e.records, metrics: e.metrics, log: e.log,
		decisions: e.decisions, usage: newUsageCounts(),
		dispatch: e.dispatch, claim: e.startClaim, endClaim: e.endClaim, crash: e.spreadCrash,
		move: e.move,
	}
	e.signs.step, e.loads.step = e.driver.step, e.driver.step
	e.signs.catalog = e.config.catalog
	e.signs.reclaimed = e.noticed
	e.config.changed = e.signs.configChanged
	e.shared = &usageExchange{own: e.driver.inFlightByCustomer, step: e.driver.step, heard: map[string]time.Time{}}
}

// addPeers adds the node that talks to other entries.
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
		Usages:    e.shared,
		Log:       e.log,
		Changed:   e.peersChanged,

		Credentials: credentials,
		Source:      source,
	})
	e.registerHandover(e.peers.Server())
	e.signs.tell = e.peers.PushSigns
}

// peerCredentials returns nil where the settings allow plaintext.
func peerCredentials(s PeerTLSSettings) (*peer.Credentials, error) {
	if s.Plaintext {
		return nil, nil
	}
	return peer.LoadCredentials(s.Certificate, s.Key, s.Authority)
}

func (e *Entry) peersChanged() {
	e.driver.step(decision.EntriesEvent{Live: 1 + len(e.peers.Live())})
}

// Start implements kernel.Starter: it opens the ports and starts the loops.
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
	e.operator = e.newServer(e.boundWrites(e.operatorHandler()))
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
		MaxHeaderBytes:    int(e.settings.Limits.Header) + headerSlack,
		ErrorLog:          slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
}

func (e *Entry) serve(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		e.log.Error("server ended", "err", err)
	}
}

func (e *Entry) startLoops() {
	ctx, in := e.background, e.settings.Intervals
	e.work.Go(func() { e.read(ctx, "watch", e.readConfig) })
	e.work.Go(func() { e.read(ctx, "notices", e.followNotices) })
	e.work.Go(func() { e.read(ctx, "hosts", e.pollHosts) })
	e.work.Go(func() { newOrderer(e).run(ctx) })
	e.work.Go(func() { every(ctx, in.Load.Std(), e.pollLoad) })
	e.work.Go(func() {
		every(ctx, time.Second, func(context.Context) {
			e.signs.expire()
			e.shared.expire(time.Now())
		})
	})
	e.work.Go(func() { every(ctx, forgetInterval, e.tidy) })
}

// tidy drops what is no longer needed and refreshes the number of entries.
func (e *Entry) tidy(context.Context) {
	e.records.forget(time.Now().Add(-e.settings.Intervals.Retain.Std()))
	e.peersChanged()
}

var (
	_ kernel.Starter = (*Entry)(nil)
	_ kernel.Stopper = (*Entry)(nil)
)
