package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/placement"
	"jaylink/decision/poison"
	"jaylink/decision/reason"
)

// fingerprint stands for what stays the same when a caller repeats a request: its
// target, its customer and its body.
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

// takeCrashes counts one crash against the requests that took part in it, and has the
// other entries told of what is new.
func (g *Gateway) takeCrashes(source string, crashes []poison.Crash) {
	news := 0
	for _, c := range crashes {
		if g.countCrash(source, c) {
			news++
		}
	}
	if news > 0 {
		g.log.Warn("upstream crashed", "upstream", crashes[0].Upstream, "requests", news, "source", source)
		g.tellOfCrashes()
	}
}

// countCrash counts a crash against one request and reports whether it was new. A
// request that took part in more than one is logged.
func (g *Gateway) countCrash(source string, c poison.Crash) bool {
	g.mu.Lock()
	isNew := g.poison.Add(g.trueTime(), c)
	count, poisoned := g.poison.Crashes(c.Fingerprint), g.poison.Poisoned(g.trueTime(), c.Fingerprint)
	g.mu.Unlock()
	if isNew && (poisoned || count > 1) {
		g.log.Warn("request took part in crashes", "upstream", c.Upstream, "fingerprint", c.Fingerprint, "crashes", count, "poison", poisoned, "source", source)
	}
	return isNew
}

// tellOfCrashes has some entries told soon of what is known of crashes.
func (g *Gateway) tellOfCrashes() {
	select {
	case g.sendCrashes <- struct{}{}:
	default:
	}
}

// knowsOfCrashes reports whether there is something to tell.
func (g *Gateway) knowsOfCrashes() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.poison.HasNews(g.trueTime())
}

// hearCrashes takes what another entry knows of crashes and tells on what is new.
func (g *Gateway) hearCrashes(w word) {
	for _, c := range w.Crashes {
		crashes := make([]poison.Crash, 0, len(c.Requests))
		for _, f := range c.Requests {
			crashes = append(crashes, poison.Crash{Fingerprint: f, Upstream: c.Upstream, At: c.At})
		}
		g.takeCrashes(w.Entry, crashes)
	}
	for _, v := range w.Verdicts {
		g.mu.Lock()
		isNew := g.poison.Hear(g.trueTime(), v)
		g.mu.Unlock()
		if isNew {
			g.log.Warn("verdict on a request", "fingerprint", v.Fingerprint, "poison", !v.Sound, "source", w.Entry)
			g.tellOfCrashes()
		}
	}
}

// isPoison reports whether a request has ended too many upstreams.
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

// refusePoison is the final answer to a request that ends its upstreams. Sent again it
// would be refused again, so there is no time to come back at.
func refusePoison(r *request) *refusal {
	return newRefusal(http.StatusBadRequest, reason.Poison, 0, "fingerprint", r.fingerprint())
}

// answered ends an attempt whose answer was whole: its request does not end upstreams.
func (g *Gateway) answered(r *request, t *placement.Ticket) {
	f := r.fingerprint()
	g.mu.Lock()
	g.table.End(time.Now(), t, placement.Answered)
	acquitted := g.poison.Answered(g.trueTime(), f)
	g.mu.Unlock()
	if acquitted {
		g.log.Warn("verdict on a request", "fingerprint", f, "poison", false, "request_id", r.RequestID)
		g.tellOfCrashes()
	}
}
