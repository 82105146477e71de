package entry

import (
	"github.com/rcrowley/go-metrics"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/upstream"
)

// counters has the counters of the entry and the registry of all its metrics.
// Metric names have the form "area.thing.reason".
type counters struct {
	registry metrics.Registry
	accepted metrics.Counter
	crashes  metrics.Counter
	answered metrics.Counter
	// copied, moved and takenOver count requests in handovers: copies stored
	// by peers, requests transferred to a peer, and requests taken over from
	// an owner that failed.
	copied    metrics.Counter
	moved     metrics.Counter
	takenOver metrics.Counter
	// cacheMoved and cacheFailed count the KV caches that were transferred to
	// another upstream with their stream, and the transfers that failed.
	cacheMoved  metrics.Counter
	cacheFailed metrics.Counter
	// link counts the bytes on the link between regions.
	link    upstream.Traffic
	refused map[reason.Reason]metrics.Counter
	retried map[reason.Reason]metrics.Counter
	claims  map[decision.ClaimResult]metrics.Counter
}

func newCounters() *counters {
	r := metrics.NewRegistry()
	c := &counters{
		registry:    r,
		accepted:    metrics.NewRegisteredCounter("request.accepted", r),
		answered:    metrics.NewRegisteredCounter("request.answered", r),
		crashes:     metrics.NewRegisteredCounter("upstream.crashes", r),
		copied:      metrics.NewRegisteredCounter("handover.copied", r),
		moved:       metrics.NewRegisteredCounter("handover.moved", r),
		takenOver:   metrics.NewRegisteredCounter("handover.taken_over", r),
		cacheMoved:  metrics.NewRegisteredCounter("recovery.cache_moved", r),
		cacheFailed: metrics.NewRegisteredCounter("recovery.cache_failed", r),
		link: upstream.Traffic{
			Sent:     metrics.NewRegisteredCounter("link.sent_bytes", r),
			Received: metrics.NewRegisteredCounter("link.received_bytes", r),
		},
		refused: map[reason.Reason]metrics.Counter{},
		retried: map[reason.Reason]metrics.Counter{},
		claims:  map[decision.ClaimResult]metrics.Counter{},
	}
	for _, why := range reason.Refusals {
		c.refused[why] = metrics.NewRegisteredCounter("request.refused."+string(why), r)
	}
	for _, why := range reason.Retries {
		c.retried[why] = metrics.NewRegisteredCounter("request.retried."+string(why), r)
	}
	for _, result := range decision.ClaimResults {
		c.claims[result] = metrics.NewRegisteredCounter("claim."+string(result), r)
	}
	return c
}

func (c *counters) countClaim(result decision.ClaimResult) { c.claims[result].Inc(1) }

func (c *counters) countRefusal(why reason.Reason) { c.refused[why].Inc(1) }

func (c *counters) countRetry(why reason.Reason) { c.retried[why].Inc(1) }
