package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"jaylink/decision/notrun"
	"jaylink/decision/reason"
	"jaylink/internal/metricstext"
	"jaylink/serving"
)

// stateChange names a kind of change in an entry's view of the system. Its values are
// part of metric names.
type stateChange string

// The state changes that are counted. Each is also logged.
const (
	newConfiguration   stateChange = "configuration"
	upstreamChanged    stateChange = "upstream"
	upstreamGone       stateChange = "upstream_gone"
	upstreamLeaving    stateChange = "upstream_leaving"
	upstreamRests      stateChange = "upstream_rests"
	upstreamLimit      stateChange = "upstream_limit"
	peerFound          stateChange = "peer"
	peerGone           stateChange = "peer_gone"
	dependencyLost     stateChange = "dependency_lost"
	dependencyRegained stateChange = "dependency_regained"
	clockSet           stateChange = "clock"
	dutiesTaken        stateChange = "duties"
	dutyRefused        stateChange = "duty_refused"
	storeEra           stateChange = "store_era"
	usageLost          stateChange = "usage_lost"
	rolloutChanged     stateChange = "rollout"
)

// stateChanges lists all state changes.
var stateChanges = []stateChange{
	newConfiguration, upstreamChanged, upstreamGone, upstreamLeaving, upstreamRests, upstreamLimit, peerFound, peerGone,
	dependencyLost, dependencyRegained, clockSet, dutiesTaken, dutyRefused, storeEra, usageLost, rolloutChanged,
}

// counters holds the metrics of a gateway.
type counters struct {
	registry metrics.Registry
	refused  map[reason.Reason]metrics.Counter
	retried  map[reason.Reason]metrics.Counter
	// unanswered counts attempts without an answer that could be relayed, whether or
	// not the request was retried.
	unanswered map[reason.Reason]metrics.Counter
	// silentMoved counts attempts given up because their upstream was silent while another
	// one was free, and silentKept those that went on because none was.
	silentMoved, silentKept metrics.Counter
	// notRun counts attempts that have certainly not run, by what proves that.
	notRun  map[notrun.Proof]metrics.Counter
	changed map[stateChange]metrics.Counter

	answered    metrics.Counter
	failed      metrics.Counter
	abandoned   metrics.Counter
	connections metrics.Counter
	// storeCalls and storeErrors count the calls to the platform's store, and those
	// that failed.
	storeCalls  metrics.Counter
	storeErrors metrics.Counter
	// invalidConfigurations counts configurations that could not be decoded or served.
	invalidConfigurations metrics.Counter
	// storeEra is the latest era of the store that an answer has shown.
	storeEra metrics.Gauge
	// skippedObjects counts objects in lists and changes of the store that could not be
	// decoded.
	skippedObjects metrics.Counter
	// olderLists counts upstream lists and changes that were ignored because they are
	// older than the active list.
	olderLists metrics.Counter
	// peerFetches counts fetches of configurations and upstream lists from peers,
	// peerFetchErrors those that failed, and hedgedFetches those that were started because
	// another one took long. directReads counts reads of the store because no peer answered.
	peerFetches, peerFetchErrors, hedgedFetches, directReads metrics.Counter
	// panics counts the panics that withRecover and answerPanic caught.
	panics metrics.Counter
	// limitedAttempts counts attempts on upstreams that had stated a limit on their
	// requests, and invalidLimits the answers with a limit that can't be decoded.
	limitedAttempts metrics.Counter
	invalidLimits   metrics.Counter
	// unknownHeaders counts answers with a header about the upstream's state that this
	// version can't read.
	unknownHeaders metrics.Counter
	// limitedUpstreams is the number of upstreams with a limit.
	limitedUpstreams metrics.Gauge
	// slowUpstreams is the number of upstreams on hosts that are usually slow, and work the
	// forecast number of upstreams that requests keep busy, in hundredths, over all services.
	slowUpstreams, work metrics.Gauge
	// crashes counts upstream crashes that this entry detected itself.
	crashes metrics.Counter
	// inquiries counts the calls by which upstreams are asked what they are, after the ends of
	// answers and after their connections broke.
	inquiries metrics.Counter
	// deadlyParts is the number of parts of prompts that are known to crash upstreams, and
	// droppedEvidence the requests and parts that were involved in crashes and not
	// recorded because of the limits.
	deadlyParts     metrics.Gauge
	droppedEvidence metrics.Gauge
	// crashRecordWrites counts writes of the evidence of crashes to the store, and
	// crashRecordErrors those that failed.
	crashRecordWrites, crashRecordErrors metrics.Counter
	// logLimited and logDropped are the numbers of log lines suppressed by the rate
	// limit of their message and dropped because the buffer was full.
	logLimited metrics.Gauge
	logDropped metrics.Gauge
	inFlight   metrics.Gauge
	version    metrics.Gauge
	peers      metrics.Gauge
	upstreams  metrics.Gauge
	// configurationAge is the time since the configuration was last confirmed, and
	// peerSilence the longest time since a peer's last message, in milliseconds.
	configurationAge metrics.Gauge
	peerSilence      metrics.Gauge
	// bodyMemory and answerMemory are the bytes that bodies take from their budgets, and
	// unbuffered counts answers that did not fit into theirs.
	bodyMemory, answerMemory metrics.Gauge
	unbuffered               metrics.Counter
	// rolloutsRunning is the number of rollouts that run, and rolloutRequests counts
	// attempts on their new versions. statusesWritten counts the statuses of rollouts that
	// this entry has written, and statusErrors the writes that failed.
	rolloutsRunning               metrics.Gauge
	rolloutRequests               metrics.Counter
	statusesWritten, statusErrors metrics.Counter
	// dutiesHeld is 1 while this entry holds the lease for the shared duties, else 0.
	dutiesHeld metrics.Gauge
}

// reservoirSize is the number of samples of a latency histogram, and reservoirAlpha the
// decay factor of its exponentially decaying sample: the higher, the more recent samples
// weigh.
const (
	reservoirSize  = 512
	reservoirAlpha = 0.015
)

func newCounters() *counters {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.NewRegisteredGauge(name, r) }
	c := &counters{
		registry: r, refused: map[reason.Reason]metrics.Counter{}, retried: map[reason.Reason]metrics.Counter{},
		unanswered: map[reason.Reason]metrics.Counter{}, changed: map[stateChange]metrics.Counter{},
		notRun:      map[notrun.Proof]metrics.Counter{},
		silentMoved: counter("attempt.silent.moved"), silentKept: counter("attempt.silent.kept"),
		answered: counter("request.answered"), failed: counter("request.failed"), abandoned: counter("request.abandoned"),
		connections: counter("upstream.connections"), storeCalls: counter("store.calls"), storeErrors: counter("store.errors"),
		invalidConfigurations: counter("configuration.invalid"),
		storeEra:              gauge("store.era"), olderLists: counter("store.older_lists"), skippedObjects: counter("store.skipped_objects"),
		peerFetches: counter("peer.fetches"), peerFetchErrors: counter("peer.fetch_errors"), hedgedFetches: counter("peer.fetches_hedged"),
		directReads: counter("store.direct_reads"),
		panics:      counter("message.panics"), crashes: counter("upstream.crashes"), inquiries: counter("upstream.inquiries"),
		limitedAttempts: counter("upstream.limited_attempts"), invalidLimits: counter("upstream.invalid_limits"),
		unknownHeaders: counter("upstream.unknown_headers"), limitedUpstreams: gauge("upstream.limited"),
		slowUpstreams: gauge("upstream.slow"), work: gauge("upstream.work_hundredths"),
		deadlyParts: gauge("poison.parts"), droppedEvidence: gauge("poison.evidence_dropped"),
		crashRecordWrites: counter("poison.record_writes"), crashRecordErrors: counter("poison.record_errors"),
		logLimited: gauge("log.limited"), logDropped: gauge("log.dropped"),
		bodyMemory: gauge("memory.bodies"), answerMemory: gauge("memory.answers"), unbuffered: counter("memory.answers_unbuffered"),
		inFlight: gauge("request.in_flight"), version: gauge("configuration.version"),
		peers: gauge("peer.live"), upstreams: gauge("upstream.known"),
		configurationAge: gauge("configuration.age_ms"), peerSilence: gauge("peer.silence_ms"), dutiesHeld: gauge("duties.held"),
		rolloutsRunning: gauge("rollout.running"), rolloutRequests: counter("rollout.new_version_requests"),
		statusesWritten: counter("rollout.statuses_written"), statusErrors: counter("rollout.status_errors"),
	}
	for _, code := range reason.Refusals {
		c.refused[code] = counter("request.refused." + string(code))
	}
	for _, code := range reason.Retries {
		c.retried[code] = counter("request.retried." + string(code))
		c.unanswered[code] = counter("attempt.unanswered." + string(code))
	}
	for _, proof := range notrun.Proofs {
		c.notRun[proof] = counter("attempt.not_run." + string(proof))
	}
	for _, change := range stateChanges {
		c.changed[change] = counter("belief.changed." + string(change))
	}
	return c
}

// recordLatency adds a time to the latency histogram of the request's service and class.
func (c *counters) recordLatency(what string, r *request, d time.Duration) {
	c.histogram(metricstext.Labelled("latency."+what, "service", r.service.Name, "class", classOf(r.route))).Update(d.Milliseconds())
}

// recordStoreCall counts a call to the store and records its duration. Durations are
// kept by kind of call, as a watch waits on purpose.
func (c *counters) recordStoreCall(call string, d time.Duration, err error) {
	c.storeCalls.Inc(1)
	if err != nil {
		c.storeErrors.Inc(1)
	}
	c.histogram(metricstext.Labelled("store.call_ms", "call", call)).Update(d.Milliseconds())
}

// histogram returns the histogram of a name, and creates it on first use.
func (c *counters) histogram(name string) metrics.Histogram {
	return c.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}

// classOf returns the class of a route's requests, by whether they can be repeated: as a
// stream that is resumed, as idempotent requests, or not at all.
func classOf(route *serving.Route) string {
	switch {
	case route.Streaming:
		return "stream"
	case route.Idempotent:
		return "idempotent"
	}
	return "once"
}
