package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/placement"
	"jaylink/decision/poison"
	"jaylink/decision/reason"
)

// fingerprint returns a hash of what stays the same when a caller repeats a request: its
// target, its customer and its body. It is never 0.
func (r *request) fingerprint() uint64 {
	if r.cachedFingerprint == 0 {
		d := xxhash.New()
		// Writing to a hash can't fail.
		_, _ = d.WriteString(r.target)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(customerName(r))
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(r.body)
		r.cachedFingerprint = max(d.Sum64(), 1)
	}
	return r.cachedFingerprint
}

// recordCrashes records one upstream crash for each request that was involved in it. If
// any of it is new, it is sent on to other entries.
func (g *Gateway) recordCrashes(source string, crashes []poison.Crash) {
	added := 0
	for _, c := range crashes {
		if g.recordCrash(source, c) {
			added++
		}
	}
	if added > 0 {
		g.log.Warn("upstream crashed", "upstream", crashes[0].Upstream, "requests", added, "source", source)
		g.triggerNews()
	}
}

// recordCrash records a crash for one request and reports whether it was new. A request
// that was involved in more than one crash is logged.
func (g *Gateway) recordCrash(source string, c poison.Crash) bool {
	g.mu.Lock()
	isNew := g.poison.Add(g.trueTime(), c)
	count, poisoned := g.poison.Crashes(c.Fingerprint), g.poison.Poisoned(g.trueTime(), c.Fingerprint)
	g.mu.Unlock()
	if isNew && (poisoned || count > 1) {
		g.log.Warn("request was involved in crashes", "upstream", c.Upstream, "fingerprint", c.Fingerprint, "crashes", count, "poison", poisoned, "source", source)
	}
	return isNew
}

// triggerNews triggers an early message about the known crashes and limits to some peers.
func (g *Gateway) triggerNews() {
	select {
	case g.sendNews <- struct{}{}:
	default:
	}
}

// hasNews reports whether there are crashes, verdicts or limits to send.
func (g *Gateway) hasNews() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasNewsLocked()
}

// hasNewsLocked is hasNews for callers that hold mu.
func (g *Gateway) hasNewsLocked() bool {
	return g.poison.HasUpdates(g.trueTime()) || g.limits.Count() > 0 || g.limits.HasNews(g.trueTime())
}

// applyCrashReports records the crashes and verdicts of a message, and sends on what is
// new.
func (g *Gateway) applyCrashReports(m gossipMessage) {
	for _, c := range m.Crashes {
		crashes := make([]poison.Crash, 0, len(c.Requests))
		for _, f := range c.Requests {
			crashes = append(crashes, poison.Crash{Fingerprint: f, Upstream: c.Upstream, At: c.At})
		}
		g.recordCrashes(m.Entry, crashes)
	}
	for _, v := range m.Verdicts {
		g.mu.Lock()
		isNew := g.poison.ApplyVerdict(g.trueTime(), v)
		g.mu.Unlock()
		if isNew {
			g.log.Warn("verdict on a request", "fingerprint", v.Fingerprint, "poison", !v.Cleared, "source", m.Entry)
			g.triggerNews()
		}
	}
}

// isPoison reports whether a request has crashed so many upstreams that it must be
// refused.
func (g *Gateway) isPoison(r *request) bool {
	g.mu.Lock()
	some := g.poison.AnyPoison()
	g.mu.Unlock()
	if !some {
		return false
	}
	f := r.fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.Poisoned(g.trueTime(), f)
}

// refusePoison returns the refusal of a request that crashes upstreams. A retry would be
// refused again, so it has no Retry-After.
func refusePoison(r *request) *refusal {
	return newRefusal(http.StatusBadRequest, reason.Poison, 0, "fingerprint", r.fingerprint())
}

// recordAnswer ends an attempt that got a complete answer, which shows that the request
// does not crash upstreams.
func (g *Gateway) recordAnswer(r *request, t *placement.Ticket) {
	f := r.fingerprint()
	g.mu.Lock()
	g.table.End(time.Now(), t, placement.Answered)
	cleared := g.poison.Answered(g.trueTime(), f)
	g.mu.Unlock()
	if cleared {
		g.log.Warn("verdict on a request", "fingerprint", f, "poison", false, "request_id", r.RequestID)
		g.triggerNews()
	}
}
