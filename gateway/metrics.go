package gateway

import (
	"github.com/rcrowley/go-metrics"

	"jaylink/decision/reason"
)

// counters are the metrics of a gateway.
type counters struct {
	registry metrics.Registry
	refused  map[reason.Reason]metrics.Counter
	retried  map[reason.Reason]metrics.Counter

	answered    metrics.Counter
	failed      metrics.Counter
	abandoned   metrics.Counter
	connections metrics.Counter
	// storeCalls counts calls to the platform's store.
	storeCalls metrics.Counter
	inFlight   metrics.Gauge
	version    metrics.Gauge
	peers      metrics.Gauge
	upstreams  metrics.Gauge
	// firstEvent and total are latencies in milliseconds.
	firstEvent metrics.Histogram
	total      metrics.Histogram
}

// reservoir is the number of samples of a latency histogram.
const reservoir = 512

func newCounters() *counters {
	r := metrics.NewRegistry()
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.NewRegisteredGauge(name, r) }
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(reservoir, 0.015))
	}
	c := &counters{
		registry: r, refused: map[reason.Reason]metrics.Counter{}, retried: map[reason.Reason]metrics.Counter{},
		answered: counter("request.answered"), failed: counter("request.failed"), abandoned: counter("request.abandoned"),
		connections: counter("upstream.connections"), storeCalls: counter("store.calls"),
		inFlight: gauge("request.in_flight"), version: gauge("configuration.version"),
		peers: gauge("peer.live"), upstreams: gauge("upstream.known"),
		firstEvent: histogram("latency.first_event_ms"), total: histogram("latency.total_ms"),
	}
	for _, why := range reason.Refusals {
		c.refused[why] = counter("request.refused." + string(why))
	}
	for _, why := range reason.Retries {
		c.retried[why] = counter("request.retried." + string(why))
	}
	return c
}
