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
	"jaylink/decision/upstreamlimit"
	"jaylink/decision/usage"
	"jaylink/internal/membudget"
	"jaylink/internal/metricstext"
	"jaylink/objects"
	"jaylink/platform"
	"jaylink/serving"
	"jaylink/upstream/exchange"
)

const (
	// storeTimeout limits a call to the store.
	storeTimeout = 1500 * time.Millisecond
	// dutyTimeout limits a call that only the lease holder makes.
	dutyTimeout = 800 * time.Millisecond
)

// Gateway is one entry process. It can be started only once.
type Gateway struct {
	settings platform.Settings
	log      *slog.Logger
	metrics  *counters
	objects  *platform.Objects
	duties   *platform.CloudClient
	pool     *exchange.Pool
	// inquiries are the questions to upstreams whether they have outlived their answers.
	inquiries       inquiries
	processStarts   *processStarts
	confirmTimeouts confirmTimeouts
	// bodyMemory and answerMemory bound the memory of the bodies of requests, and of answers
	// and events, all together.
	bodyMemory, answerMemory *membudget.Budget
	// incarnation is the start time of the process in Unix nanoseconds. Peers use it to
	// tell this process from earlier ones of the same entry.
	incarnation int64

	// configurationReplica and upstreamReplica fetch from peers what is newer there.
	configurationReplica, upstreamReplica *replica

	config    atomic.Pointer[acceptedConfiguration]
	upstreams atomic.Pointer[upstreamList]
	// stopping is set from the beginning of a planned stop on, and refusing once requests
	// that come are not served any more.
	stopping, refusing atomic.Bool
	// givenUp ends when requests in flight are given up, which giveUp does.
	givenUp context.Context
	giveUp  context.CancelFunc
	// watchingConfiguration and watchingUpstreams report whether this entry watches the
	// store for changes of the configuration and of the upstream list. The two watches
	// start and end independently.
	watchingConfiguration, watchingUpstreams atomic.Bool
	inFlight                                 atomic.Int64
	// gossipInterval is the current time between two gossip rounds of this entry, in
	// nanoseconds.
	gossipInterval atomic.Int64
	// confirmedAt is when the store or a peer last confirmed that the active
	// configuration is current, as a reading of monotonic in nanoseconds, or 0.
	confirmedAt atomic.Int64
	// noticedEra is the latest era of the store after the first that this entry has noticed,
	// and restoredAt is when it did so, as a reading of monotonic in nanoseconds.
	noticedEra atomic.Uint64
	restoredAt atomic.Int64

	// mu guards the fields from here to lostDependencies.
	mu    sync.Mutex
	table *placement.Table
	quota *quota.Quota
	// retryBudgets holds one budget per service.
	retryBudgets map[string]*budget.Budget
	usage        *usage.Counter
	// reports tells which windows may have been reported by any entry.
	reports *usage.Reports
	clock   *truetime.Clock
	lease   *lease.Lease
	scalers map[string]*scaling.Scaler
	limits  *upstreamlimit.Limits
	// ownWork is the work that this entry's requests bring to the upstreams of each service
	// whose orders follow the forecast work, and forecasts add up that of all entries, by service
	// key.
	ownWork   map[uint32]scaling.EntryWork
	forecasts map[uint32]*scaling.Forecast
	// rollouts holds what is known of the rollouts of services.
	rollouts rollouts
	// suspicions and poison track requests that crash the upstreams that run them.
	suspicions *poison.CrashSuspicions
	poison     *poison.Tracker
	// crashProbes holds, by upstream ID, a channel that is closed when the probe under
	// way ends. promptAttempts holds the functions that cancel the attempts under way of
	// requests with a prompt.
	crashProbes map[string]chan struct{}
	// watchedBreaks holds the processes that are asked why their connections broke.
	watchedBreaks  map[uint64]bool
	promptAttempts map[*request]context.CancelCauseFunc
	peers          map[string]*peer
	// peerNames caches the sorted keys of peers. It is rebuilt when its length differs
	// from that of peers, and is cleared when a peer is removed.
	peerNames []string
	// upstreamIDs maps the hashed keys used in gossip messages to upstream IDs.
	upstreamIDs map[uint32]string
	// customerNames maps the hashed keys used in gossip messages to the names of all
	// customers seen so far.
	customerNames map[uint32]string
	// unknownHeaders holds the headers of upstreams that were reported as unknown.
	unknownHeaders map[string]bool

	// lostDependencies maps the name of each unreachable dependency to the time at
	// which it became unreachable.
	lostDependencies map[string]time.Time
	// callers are the connections of callers, and front is the listener that accepts them.
	callers *callerConns
	front   *callerListener
	// servers are those of the front, first, and of the internal ports.
	servers []*http.Server
	gossip  *net.UDPConn
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// logLosses returns how many log lines were suppressed by the rate limit of their
	// message and how many were dropped because the buffer was full. It is nil if
	// these are not counted.
	logLosses func() (limited, dropped int64)
	// storeRestored tells discoverPeers that the store has been restored.
	storeRestored chan struct{}
	// sendLoads triggers a gossip message with loads before the next round.
	sendLoads chan struct{}
	// sendNews triggers a gossip message about crashes and limits before the next round.
	sendNews chan struct{}
	// crashNews triggers a check whether the evidence of crashes has to be stored.
	crashNews chan struct{}
	// sendNewsTo queues newly started peers that are to be sent the known crashes and
	// limits.
	sendNewsTo chan *net.UDPAddr
}

// New returns a gateway that has not been started.
func New(settings platform.Settings, log *slog.Logger) *Gateway {
	bounds := settings.Bounds
	g := &Gateway{
		settings:        settings,
		log:             log.With("entry", settings.Name),
		metrics:         newCounters(),
		objects:         platform.NewObjects(settings.Store, storeTimeout),
		pool:            exchange.NewPool(),
		inquiries:       inquiries{active: map[uint64][]*inquiry{}},
		processStarts:   newProcessStarts(),
		confirmTimeouts: confirmTimeouts{last: confirmTimeout, other: shortConfirmTimeout},
		bodyMemory:      membudget.New(bodyMemory(settings)),
		answerMemory:    membudget.New(bodyMemory(settings)),
		incarnation:     time.Now().UnixNano(),
		table:           placement.NewTable(settings.Regions),
		quota:           quota.New(),
		retryBudgets:    map[string]*budget.Budget{},
		limits:          upstreamlimit.New(settings.Name),
		usage:           usage.NewCounter(bounds.UsageWindow),
		clock:           truetime.New(time.Now(), monotonic()),
		lease:           lease.New(settings.Name, lease.Options{Duration: bounds.Lease, OrderTimeout: dutyTimeout}),
		scalers:         map[string]*scaling.Scaler{},
		ownWork:         map[uint32]scaling.EntryWork{},
		forecasts:       map[uint32]*scaling.Forecast{},
		peers:           map[string]*peer{},
		rollouts:        rollouts{},
		suspicions:      poison.NewCrashSuspicions(),
		poison:          poison.NewTracker(),

		crashProbes:    map[string]chan struct{}{},
		watchedBreaks:  map[uint64]bool{},
		promptAttempts: map[*request]context.CancelCauseFunc{},

		customerNames:    map[uint32]string{},
		unknownHeaders:   map[string]bool{},
		lostDependencies: map[string]time.Time{},
		storeRestored:    make(chan struct{}, 1),
		sendLoads:        make(chan struct{}, 1),
		sendNews:         make(chan struct{}, 1),
		crashNews:        make(chan struct{}, 1),
		sendNewsTo:       make(chan *net.UDPAddr, smallFleet),
	}
	g.callers = newCallerConns(g.idleLimit)
	g.givenUp, g.giveUp = context.WithCancel(context.Background())
	if settings.Cloud != "" {
		g.duties = platform.NewCloudClient(settings.Cloud, settings.Name, dutyTimeout)
	}
	// The number of entries is unknown yet; assume a large fleet.
	g.quota.SetDelays(totalsInterval, 0)
	g.quota.SetSlack(bounds.QuotaSlack)
	g.quota.SetName(settings.Name)
	g.reports = usage.NewReports(objects.FirstEra, g.newestDueWindow(time.Now())+1)
	g.table.SetLimits(g.limits)
	hedged := func() { g.metrics.hedgedFetches.Inc(1) }
	guard := func(f func()) { g.withRecover("peer sync", f) }
	g.configurationReplica = newReplica(configurationSource{g}, hedged, guard)
	g.upstreamReplica = newReplica(upstreamSource{g}, hedged, guard)
	g.objects.Called = g.metrics.recordStoreCall
	g.objects.EraChanged = g.storeEraChanged
	g.objects.Skipped = g.skipObject
	g.pool.Opened = func() { g.metrics.connections.Inc(1) }
	return g
}

// bodyMemoryRatio is the part of the memory limit of the process that the bodies of requests
// may take, and also those of answers.
const bodyMemoryRatio = 0.125

// bodyMemory returns the size of the memory budgets for bodies in bytes.
func bodyMemory(s platform.Settings) int64 { return int64(bodyMemoryRatio * float64(s.MemoryMB<<20)) }

// CountLogLosses sets the source of two metrics: log lines suppressed by the rate limit
// of their message, and log lines dropped because the buffer was full. It must be
// called before Start.
func (g *Gateway) CountLogLosses(losses func() (limited, dropped int64)) { g.logLosses = losses }

// Start opens the listeners and starts the background tasks.
func (g *Gateway) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(context.WithoutCancel(ctx))
	host := g.settings.IP
	port := func(offset int) string { return net.JoinHostPort(host, strconv.Itoa(g.settings.PortFirst+offset)) }
	metricsAddress := net.JoinHostPort(host, strconv.Itoa(metricsPort(g.settings)))
	listeners := []struct {
		address string
		handler http.Handler
		callers *callerConns
	}{
		{g.settings.Front, http.HandlerFunc(g.serveCaller), g.callers},
		{g.settings.Ready, g.readyHandler(), nil},
		{port(syncPort), g.syncHandler(), nil},
		{metricsAddress, metricstext.Handler(g.metrics.registry), nil},
	}
	for _, l := range listeners {
		if err := g.listen(l.address, l.handler, l.callers); err != nil {
			return errors.Join(err, g.Stop(ctx))
		}
	}
	if err := g.openGossip(port(gossipPort)); err != nil {
		return errors.Join(err, g.Stop(ctx))
	}
	for _, task := range []func(context.Context){
		g.watchConfiguration, g.watchUpstreams, g.watchRollouts, g.discoverPeers, g.receiveGossip, g.sendGossip, g.runDuties, g.runRollouts, g.trackDemand, g.keepCrashRecord, g.housekeep,
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

// readyHandler answers the platform's readiness probes.
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

// ready reports whether this entry should receive new callers.
func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.config.Load() != nil && g.upstreams.Load() != nil
}

// housekeepInterval is how often expired state is dropped and the gauges are updated.
const housekeepInterval = time.Second

// housekeep drops expired state and updates the gauges until ctx ends.
func (g *Gateway) housekeep(ctx context.Context) {
	for sleep(ctx, housekeepInterval) {
		g.pool.Sweep()
		now := time.Now()
		g.mu.Lock()
		cycle := g.gossipCycleTime(g.listPeersLocked())
		g.quota.Expire(now)
		g.expirePeers(now, cycle)
		g.tickLimits()
		g.expireLimits()
		g.updateGauges(now)
		g.metrics.rolloutsRunning.Update(int64(g.rollouts.running()))
		g.mu.Unlock()
	}
}

// updateGauges sets the gauges from the current state. The caller holds mu.
func (g *Gateway) updateGauges(now time.Time) {
	m := g.metrics
	m.inFlight.Update(g.inFlight.Load())
	m.bodyMemory.Update(g.bodyMemory.Used())
	m.answerMemory.Update(g.answerMemory.Used())
	m.peers.Update(int64(len(g.peers)))
	m.slowUpstreams.Update(int64(g.table.SlowUpstreams()))
	work := 0.0
	for _, s := range g.scalers {
		work += s.Work()
	}
	m.work.Update(int64(100 * work))
	m.deadlyParts.Update(int64(g.poison.DeadlyParts(g.trueTime())))
	m.droppedEvidence.Update(g.poison.DroppedEvidence())
	if at := g.confirmedAt.Load(); at > 0 {
		m.configurationAge.Update((monotonic() - time.Duration(at)).Milliseconds())
	}
	longestSilence := time.Duration(0)
	for _, p := range g.peers {
		longestSilence = max(longestSilence, now.Sub(p.lastHeard))
	}
	m.peerSilence.Update(longestSilence.Milliseconds())
	holdsLease := int64(0)
	if _, ok := g.lease.MayOrder(monotonicTime(), true); ok {
		holdsLease = 1
	}
	m.dutiesHeld.Update(holdsLease)
	if g.logLosses != nil {
		limited, dropped := g.logLosses()
		m.logLimited.Update(limited)
		m.logDropped.Update(dropped)
	}
}

// sleep waits for d, or until ctx ends, and reports whether it waited for all of d.
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

// await waits for d, until c is signaled or until ctx ends, and reports whether c was signaled.
func await(ctx context.Context, d time.Duration, c <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-c:
		return true
	}
	return false
}

// signal wakes the goroutine that waits for c. A signal that was not taken yet suffices.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setDependencyError records the outcome of a call to a dependency; a nil error means
// that it is reachable. It logs and counts transitions only. If the dependency has just
// become reachable again, lostFor is the length of the outage.
func (g *Gateway) setDependencyError(name string, err error) (lostFor time.Duration) {
	g.mu.Lock()
	since, was := g.lostDependencies[name]
	switch {
	case err != nil && !was:
		g.lostDependencies[name] = time.Now()
	case err == nil && was:
		delete(g.lostDependencies, name)
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

// monotonic returns a reading of a clock that never jumps. Unlike Go's monotonic clock
// it also advances while the host is suspended.
func monotonic() time.Duration { return bootClock() }

// trueTime returns the time of day, corrected by comparison with the other entries'
// clocks. The caller holds mu.
func (g *Gateway) trueTime() time.Time { return g.clock.At(monotonic()) }

// entryCount returns the number of known entries, including this one, which share the
// retry budgets and connection limits. The caller holds mu.
func (g *Gateway) entryCount() int { return len(g.peers) + 1 }

// retryBudget returns the retry budget of a service, and creates it on first use. The
// caller holds mu.
func (g *Gateway) retryBudget(service string) *budget.Budget {
	b := g.retryBudgets[service]
	if b == nil {
		bounds := g.settings.Bounds
		b = budget.New(budget.Options{Ratio: bounds.RetryRatio, Extra: bounds.RetryExtra, Window: bounds.RetryWindow})
		g.retryBudgets[service] = b
	}
	return b
}

// priorityOf returns the priority of a request: its customer's if that has one, else
// its route's. 0 is the most urgent.
func priorityOf(route *serving.Route, customer *serving.Customer) int {
	if customer != nil && customer.HasPriority {
		return customer.Priority
	}
	return route.Priority
}
