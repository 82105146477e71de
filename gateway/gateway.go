package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"jaylink/decision/budget"
	"jaylink/decision/lease"
	"jaylink/decision/placement"
	"jaylink/decision/poison"
	"jaylink/decision/quota"
	"jaylink/decision/scaling"
	"jaylink/decision/truetime"
	"jaylink/decision/usage"
	"jaylink/internal/metricstext"
	"jaylink/platform"
	"jaylink/serving"
	"jaylink/upstream/exchange"
)

// Times of the store and of the calls that are duties.
const (
	storeTimeout = 1500 * time.Millisecond
	dutyTimeout  = 800 * time.Millisecond
	// readHeaderTimeout bounds how long a caller may take for its headers. It
	// is fixed because the operator's bound may change while callers send.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes idle connections while no configuration bounds them.
	idleTimeout = 2 * time.Minute
)

// Gateway is one entry process. Run it once.
type Gateway struct {
	settings    platform.Settings
	log         *slog.Logger
	metrics     *counters
	objects     *platform.Objects
	duties      *platform.Duties
	pool        *exchange.Pool
	incarnation int64

	config    atomic.Pointer[acceptedConfiguration]
	upstreams atomic.Pointer[upstreamList]
	stopping  atomic.Bool
	// followsConfiguration and followsUpstreams say that this entry watches the
	// store for them. One may begin or end a while before the other.
	followsConfiguration, followsUpstreams atomic.Bool
	inFlight                               atomic.Int64
	// turnTime is the time between the last two turns of words, in nanoseconds.
	turnTime atomic.Int64
	// confirmed is when the store or a peer last confirmed the configuration in
	// force, on the steady clock in nanoseconds.
	confirmed atomic.Int64

	mu      sync.Mutex
	table   *placement.Table
	quota   *quota.Quota
	budgets map[string]*budget.Budget
	book    *usage.Book
	clock   *truetime.Clock
	lease   *lease.Lease
	scalers map[string]*scaling.Service
	// suspicions and poison find requests that crash their upstreams.
	suspicions *poison.Suspicions
	poison     *poison.Tracker
	peers      map[string]*peer
	// peerNames are the names of peers in order; they are gathered again when their
	// number differs, and after a peer is forgotten.
	peerNames []string
	// upstreamIDs has the IDs of the known upstreams by the keys used in words.
	upstreamIDs map[uint32]string
	// customerNames has the names of the customers seen so far by those keys.
	customerNames map[uint32]string

	// lost holds since when a dependency has not answered, by its name.
	lost    map[string]time.Time
	servers []*http.Server
	gossip  *net.UDPConn
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// logLosses returns the numbers of log lines that were left out by the limit
	// of a message, and for want of room; nil if nobody counts.
	logLosses func() (limited, dropped int64)
	// tellSoon asks for a word before the next turn.
	tellSoon chan struct{}
	// tellCrashes asks for a word about crashes before the next turn.
	tellCrashes chan struct{}
	// greetings are processes that have just started and are told of crashes.
	greetings chan *net.UDPAddr
}

// New returns a gateway that does not run yet.
func New(settings platform.Settings, log *slog.Logger) *Gateway {
	b := settings.Bounds
	g := &Gateway{
		settings:    settings,
		log:         log.With("entry", settings.Name),
		metrics:     newCounters(),
		objects:     platform.NewObjects(settings.Store, storeTimeout),
		pool:        exchange.NewPool(),
		incarnation: time.Now().UnixNano(),
		table:       placement.NewTable(settings.Regions),
		quota:       quota.New(),
		budgets:     map[string]*budget.Budget{},
		book:        usage.NewBook(b.UsageWindow),
		clock:       truetime.New(time.Now(), steady()),
		lease:       lease.New(settings.Name, lease.Options{Duration: b.Lease, OrderTimeout: dutyTimeout}),
		scalers:     map[string]*scaling.Service{},
		peers:       map[string]*peer{},
		suspicions:  poison.NewSuspicions(),
		poison:      poison.NewTracker(),

		customerNames: map[uint32]string{},
		lost:          map[string]time.Time{},
		tellSoon:      make(chan struct{}, 1),
		tellCrashes:   make(chan struct{}, 1),
		greetings:     make(chan *net.UDPAddr, smallFleet),
	}
	if settings.Cloud != "" {
		g.duties = platform.NewDuties(settings.Cloud, settings.Name, dutyTimeout)
	}
	// Until the size of the fleet is known it is taken to be large.
	g.quota.Pace(totalsInterval, 0)
	g.quota.Allow(b.QuotaSlack)
	g.objects.Called = g.metrics.storeTook
	g.pool.Opened = func() { g.metrics.connections.Inc(1) }
	return g
}

// CountLogLosses makes the metrics show the log lines that were left out by the
// limit of a message, and for want of room. It is called before Start.
func (g *Gateway) CountLogLosses(losses func() (limited, dropped int64)) { g.logLosses = losses }

// Start opens the ports and starts the background work.
func (g *Gateway) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	host := g.settings.IP
	port := func(offset int) string { return net.JoinHostPort(host, strconv.Itoa(g.settings.PortFirst+offset)) }
	metricsAddress := net.JoinHostPort(host, strconv.Itoa(metricsPort(g.settings)))
	listeners := []struct {
		address string
		handler http.Handler
		state   func(net.Conn, http.ConnState)
	}{
		{g.settings.Front, http.HandlerFunc(g.serveCaller), newIdleConns(g.idleLimit).track},
		{g.settings.Ready, g.readyHandler(), nil},
		{port(spreadPort), g.spreadHandler(), nil},
		{metricsAddress, metricstext.Handler(g.metrics.registry), nil},
	}
	for _, l := range listeners {
		if err := g.listen(l.address, l.handler, l.state); err != nil {
			return errors.Join(err, g.Stop(ctx))
		}
	}
	if err := g.openGossip(port(gossipPort)); err != nil {
		return errors.Join(err, g.Stop(ctx))
	}
	for _, task := range []func(context.Context){
		g.watchConfiguration, g.watchUpstreams, g.findPeers, g.hearPeers, g.tellPeers, g.runDuties, g.followDemand, g.housekeep,
	} {
		g.tasks.Add(1)
		go func() {
			defer g.tasks.Done()
			task(ctx)
		}()
	}
	g.log.Info("started", "front", g.settings.Front, "zone", g.settings.Zone, "incarnation", g.incarnation)
	return nil
}

func metricsPort(s platform.Settings) int { return s.PortLast - 1 }

func (g *Gateway) listen(address string, handler http.Handler, state func(net.Conn, http.ConnState)) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         state,
		ErrorLog:          slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
	g.servers = append(g.servers, server)
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener ended", "address", address, "err", err)
		}
	}()
	return nil
}

// readyHandler answers the platform's readiness calls.
func (g *Gateway) readyHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusOK
		if !g.ready() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
	}).Methods(http.MethodGet)
	return r
}

// ready reports whether new callers should come here.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.config.Load() != nil && g.upstreams.Load() != nil
}

// housekeepInterval is how often expired state is dropped.
const housekeepInterval = time.Second

func (g *Gateway) housekeep(ctx context.Context) {
	for sleep(ctx, housekeepInterval) {
		g.pool.Sweep()
		now := time.Now()
		g.mu.Lock()
		words := g.wordTime(g.sortedPeers())
		g.quota.Expire(now)
		g.expirePeers(now, words)
		g.measure(now)
		g.mu.Unlock()
	}
}

// measure updates the gauges. The caller holds mu.
func (g *Gateway) measure(now time.Time) {
	m := g.metrics
	m.inFlight.Update(g.inFlight.Load())
	m.peers.Update(int64(len(g.peers)))
	if at := g.confirmed.Load(); at > 0 {
		m.configurationAge.Update((steady() - time.Duration(at)).Milliseconds())
	}
	longest := time.Duration(0)
	for _, p := range g.peers {
		longest = max(longest, now.Sub(p.heard))
	}
	m.peerSilence.Update(longest.Milliseconds())
	held := int64(0)
	if _, ok := g.lease.MayOrder(steadyTime(), true); ok {
		held = 1
	}
	m.duties.Update(held)
	if g.logLosses != nil {
		limited, dropped := g.logLosses()
		m.logLimited.Update(limited)
		m.logDropped.Update(dropped)
	}
}

// sleep waits and reports whether the context still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// setLost notes that a dependency is out of reach, or back. It logs changes only.
func (g *Gateway) setLost(name string, err error) (lostFor time.Duration) {
	g.mu.Lock()
	since, was := g.lost[name]
	switch {
	case err != nil && !was:
		g.lost[name] = time.Now()
	case err == nil && was:
		delete(g.lost, name)
		lostFor = time.Since(since)
	}
	g.mu.Unlock()
	switch {
	case err != nil && !was:
		g.metrics.changed[dependencyLost].Inc(1)
		g.log.Warn("dependency lost", "dependency", name, "err", err)
	case err == nil && was:
		g.metrics.changed[dependencyRegained].Inc(1)
		g.log.Info("dependency regained", "dependency", name, "after", lostFor)
	}
	return lostFor
}

// steady reads a clock that never jumps and that counts the time for which the
// host was suspended.
func steady() time.Duration { return bootClock() }

// trueTime returns the time of day as this entry believes it.
func (g *Gateway) trueTime() time.Time { return g.clock.At(steady()) }

// entries returns the number of entries that may be spending shared budgets. The
// caller holds mu.
func (g *Gateway) entries() int { return len(g.peers) + 1 }

// budget returns a service's retry budget. The caller holds mu.
func (g *Gateway) budget(service string) *budget.Budget {
	b := g.budgets[service]
	if b == nil {
		bounds := g.settings.Bounds
		b = budget.New(budget.Options{Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow})
		g.budgets[service] = b
	}
	return b
}

// priorityOf ranks a request; 0 is the most urgent.
func priorityOf(route *serving.Route, customer *serving.Customer) int {
	if customer != nil && customer.Ranked {
		return customer.Priority
	}
	return route.Priority
}
