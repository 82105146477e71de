package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// registerGauges registers the gauges that are computed when the metrics are
// read.
func (e *Entry) registerGauges() {
	gauge := func(name string, f func() int64) {
		metrics.NewRegisteredFunctionalGauge(name, e.metrics.registry, f)
	}
	gauge("request.in_flight", func() int64 { n, _ := e.records.inFlight(); return int64(n) })
	gauge("request.queued", func() int64 { return int64(e.driver.queuedRequests()) })
	gauge("config.revision", func() int64 { return int64(e.config.Revision()) })
	gauge("config.objects", func() int64 { return int64(len(e.config.objects())) })
	gauge("peer.live", func() int64 { return int64(len(e.peers.Live())) })
	gauge("peer.sent_bytes", func() int64 { sent, _ := e.peers.Traffic(); return sent })
	gauge("peer.received_bytes", func() int64 { _, received := e.peers.Traffic(); return received })
	gauge("claim.pending", func() int64 { n, _ := e.claims.pendingOps(); return int64(n) })
	gauge("upstream.known", func() int64 { return int64(len(e.driver.upstreamStatus(time.Now()))) })
	gauge("upstream.leaving", func() int64 { return e.countUpstreams(func(leaving, _ bool) bool { return leaving }) })
	gauge("upstream.suspect", func() int64 { return e.countUpstreams(func(_, suspect bool) bool { return suspect }) })
}

func (e *Entry) countUpstreams(f func(leaving, suspect bool) bool) int64 {
	var n int64
	for _, u := range e.driver.upstreamStatus(time.Now()) {
		if f(u.Leaving, u.Suspect) {
			n++
		}
	}
	return n
}

// queuedRequests returns the number of requests that are waiting for an
// upstream.
func (d *driver) queuedRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting()
}
