package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"jaylink/decision/reason"
	"jaylink/internal/metricstext"
	"jaylink/serving"
)

// belief names a kind of change of what an entry believes.
type belief string

// The changes of beliefs that are counted; each has a line in the log.
const (
	newConfiguration   belief = "configuration"
	upstreamChanged    belief = "upstream"
	upstreamGone       belief = "upstream_gone"
	upstreamLeaving    belief = "upstream_leaving"
	upstreamRests      belief = "upstream_rests"
	peerFound          belief = "peer"
	peerGone           belief = "peer_gone"
	dependencyLost     belief = "dependency_lost"
	dependencyRegained belief = "dependency_regained"
	clockSet           belief = "clock"
	dutiesTaken        belief = "duties"
	dutyRefused        belief = "duty_refused"
)

// beliefs lists every kind of change.
var beliefs = []belief{
	newConfiguration, upstreamChanged, upstreamGone, upstreamLeaving, upstreamRests, peerFound, peerGone,
	dependencyLost, dependencyRegained, clockSet, dutiesTaken, dutyRefused,
}

// counters are the metrics of a gateway.
type counters struct {
	registry metrics.Registry
	refused  map[reason.Reason]metrics.Counter
	retried  map[reason.Reason]metrics.Counter
	// unanswered counts attempts that gave no answer to pass on, also those
	// after which the request was not sent again.
	unanswered map[reason.Reason]metrics.Counter
	changed    map[belief]metrics.Counter

	answered    metrics.Counter
	failed      metrics.Counter
	abandoned   metrics.Counter
	connections metrics.Counter
	// storeCalls and storeErrors count calls to the platform's store.
	storeCalls  metrics.Counter
	storeErrors metrics.Counter
	// panics counts messages whose handling panicked.
	panics metrics.Counter
	// crashes counts the upstreams that this entry saw crash.
	crashes metrics.Counter
	// logLimited and logDropped are the log lines left out by the limit of a
	// message, and for want of room in the buffer.
	logLimited metrics.Gauge
	logDropped metrics.Gauge
	inFlight   metrics.Gauge
	version    metrics.Gauge
	peers      metrics.Gauge
	upstreams  metrics.Gauge
	// Ages in milliseconds of what the entry believes.
	configurationAge metrics.Gauge
	peerSilence      metrics.Gauge
	// duties is 1 while this entry holds the lease.
	duties metrics.Gauge
}

// reservoir and reservoirBias are the number of samples of a latency histogram,
// and how strongly new ones are preferred.
const (
	reservoir     = 512
	reservoirBias = 0.015
)

func newCounters() *counters {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.NewRegisteredGauge(name, r) }
	c := &counters{
		registry: r, refused: map[reason.Reason]metrics.Counter{}, retried: map[reason.Reason]metrics.Counter{},
		unanswered: map[reason.Reason]metrics.Counter{}, changed: map[belief]metrics.Counter{},
		answered: counter("request.answered"), failed: counter("request.failed"), abandoned: counter("request.abandoned"),
		connections: counter("upstream.connections"), storeCalls: counter("store.calls"), storeErrors: counter("store.errors"),
		panics: counter("message.panics"), crashes: counter("upstream.crashes"),
		logLimited: gauge("log.limited"), logDropped: gauge("log.dropped"),
		inFlight: gauge("request.in_flight"), version: gauge("configuration.version"),
		peers: gauge("peer.live"), upstreams: gauge("upstream.known"),
		configurationAge: gauge("configuration.age_ms"), peerSilence: gauge("peer.silence_ms"), duties: gauge("duties.held"),
	}
	for _, why := range reason.Refusals {
		c.refused[why] = counter("request.refused." + string(why))
	}
	for _, why := range reason.Retries {
		c.retried[why] = counter("request.retried." + string(why))
		c.unanswered[why] = counter("attempt.unanswered." + string(why))
	}
	for _, b := range beliefs {
		c.changed[b] = counter("belief.changed." + string(b))
	}
	return c
}

// took adds a time to a latency histogram of a service and a class of requests.
func (c *counters) took(what string, r *request, d time.Duration) {
	c.histogram(metricstext.Labelled("latency."+what, "service", r.service.Name, "class", classOf(r.route))).Update(d.Milliseconds())
}

// storeTook counts a call to the store; a watch is meant to wait.
func (c *counters) storeTook(call string, d time.Duration, err error) {
	c.storeCalls.Inc(1)
	if err != nil {
		c.storeErrors.Inc(1)
	}
	c.histogram(metricstext.Labelled("store.call_ms", "call", call)).Update(d.Milliseconds())
}

func (c *counters) histogram(name string) metrics.Histogram {
	return c.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, reservoirBias))
	}).(metrics.Histogram)
}

// classOf names what may be repeated of a route's requests.
func classOf(route *serving.Route) string {
	switch {
	case route.Streaming:
		return "stream"
	case route.Idempotent:
		return "idempotent"
	}
	return "once"
}
