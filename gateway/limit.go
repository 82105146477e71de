package gateway

import (
	"strconv"
	"time"

	"jaylink/decision/upstreamlimit"
	"jaylink/platform"
	"jaylink/serving"
)

// applyLimit records the limit that an upstream has stated, or not stated, in its answer
// to a request that was sent at a time. An answer that shows neither is ignored: one with
// an invalid limit, or one to a request that the upstream has not run and that may come
// from another instance.
func (g *Gateway) applyLimit(u serving.Upstream, head platform.UpstreamHeaders, sent time.Time) {
	if head.InvalidLimit != "" {
		g.metrics.invalidLimits.Inc(1)
		g.log.Warn("upstream stated an invalid limit", "upstream", u.ID, "value", head.InvalidLimit)
	}
	if head.Limit == nil && (head.InvalidLimit != "" || head.NotRun) {
		return
	}
	took := time.Since(sent)
	g.mu.Lock()
	now := g.trueTime()
	change := g.limits.Answer(u.Instance(), head.Limit, now.Add(-took), now)
	if change != nil {
		g.table.RefreshLimits()
	}
	g.mu.Unlock()
	if change != nil {
		g.reportLimitChange(u, change, g.settings.Name, 0)
		g.triggerNews()
	}
}

// applyLimitStatements records the statements on limits that another entry has sent, and
// sends on what is new.
func (g *Gateway) applyLimitStatements(m gossipMessage) {
	for _, s := range m.Limits {
		g.mu.Lock()
		now := g.trueTime()
		change := g.limits.Merge(now, s)
		var u serving.Upstream
		if change != nil {
			g.table.RefreshLimits()
			u = g.upstreamOf(s.Instance)
		}
		g.mu.Unlock()
		if change != nil {
			g.reportLimitChange(u, change, m.Entry, now.Sub(s.At))
			g.triggerNews()
		}
	}
}

// upstreamOf returns the listed upstream that is an instance, or one without a name. The
// caller holds mu.
func (g *Gateway) upstreamOf(instance uint64) serving.Upstream {
	if list := g.upstreams.Load(); list != nil {
		for _, u := range list.upstreams {
			if u.Instance() == instance {
				return u
			}
		}
	}
	return serving.Upstream{}
}

// reportLimitChange logs and counts a change of an upstream's limit. The source is the
// entry that got the answer, and age the age of the statement.
func (g *Gateway) reportLimitChange(u serving.Upstream, change *upstreamlimit.Change, source string, age time.Duration) {
	g.metrics.changed[upstreamLimit].Inc(1)
	g.mu.Lock()
	share := g.limits.Share(g.trueTime(), hashKey(u.Service))
	g.mu.Unlock()
	g.log.Info("upstream changed its limit", "upstream", u.ID, "address", u.Address, "born", u.StartMillis,
		"limit", limitText(change.Current), "previous", limitText(change.Previous),
		"source", source, "age_ms", age.Milliseconds(), "share", share)
}

// limitText returns a limit in requests per second for the log, or "none".
func limitText(limit *float64) string {
	if limit == nil {
		return "none"
	}
	return strconv.FormatFloat(*limit, 'g', -1, 64)
}

// countDemand counts an admitted request in the demand by which the entries divide the limits of
// the service's upstreams.
func (g *Gateway) countDemand(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.CountRequest(g.trueTime(), hashKey(r.service.Name))
}

// tickLimits tells the limits that this process is running, and the size of the fleet.
// The caller holds mu.
func (g *Gateway) tickLimits() {
	g.limits.SetFleet(len(g.peers), g.gossipCycleTime(g.listPeersLocked()))
	g.limits.Tick(g.trueTime())
}

// expireLimits forgets old statements on limits. The caller holds mu.
func (g *Gateway) expireLimits() {
	listed := map[uint64]bool{}
	if list := g.upstreams.Load(); list != nil && g.limits.Count() > 0 {
		for _, u := range list.upstreams {
			listed[u.Instance()] = true
		}
	}
	g.limits.Expire(g.trueTime(), func(instance uint64) bool { return listed[instance] })
	g.metrics.limitedUpstreams.Update(int64(g.limits.Count()))
}
