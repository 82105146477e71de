package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/placement"
	"jaylink/decision/reason"
	"jaylink/decision/silence"
	"jaylink/serving"
)

const (
	// noUpstreamRetryAfter is the Retry-After if a service has no usable upstream.
	noUpstreamRetryAfter = 400 * time.Millisecond
	// minRetryAfter is the lower limit of the Retry-After values that are computed from
	// predictions and allowances. It keeps callers from retrying immediately.
	minRetryAfter = 100 * time.Millisecond
	// lateFactor times the route's latency objective is the longest predicted time to
	// the first event with which a request is started.
	lateFactor = 1.3
)

// pickUpstream picks the upstream for the next attempt, or returns a refusal.
func (g *Gateway) pickUpstream(r *request) (placement.Choice, *refusal) {
	p := &r.progress
	if reserved := p.takeReserved(); reserved != nil {
		p.chose(reserved.choice)
		return reserved.choice, nil
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	choice, ok := g.table.Pick(now, g.placementRequest(r))
	if !ok {
		return choice, g.noUpstreamRefusal(now, r)
	}
	p.chose(choice)
	if p.attempts == 0 && p.declined == 0 {
		if refused := deadlineRefusal(now, r, choice); refused != nil {
			p.limited = false
			return choice, refused
		}
	}
	g.usePermit(r, choice)
	return choice, nil
}

// chose records the upstream of the next attempt.
func (p *progress) chose(c placement.Choice) {
	p.predicted, p.unreadTokens, p.running = c.Predicted, c.Load.PrefillTokens, c.Running
	p.predictedHigh, p.predictedPause, p.predictedPauseHigh, p.slowdown = c.PredictedHigh, c.Pause, c.PauseHigh, c.Slowdown
	p.limited, p.limit = c.Limited, c.Limit
}

// placementRequest returns what placement has to know about a request. The caller holds
// mu.
func (g *Gateway) placementRequest(r *request) *placement.Request {
	wanted := &placement.Request{
		Service: r.service, Prompt: r.Prompt, Zone: g.settings.Zone, Tried: r.progress.tried,
		MaxRunning: connectionShare(r.service, g.entryCount()),
		TrueTime:   g.trueTime(), ServiceKey: hashKey(r.service.Name),
		Priority: priorityOf(r.route, r.customer), Customer: customerName(r),
		Route: r.route.Name, Key: xxhash.Sum64String(r.RequestID), PauseObjective: pauseObjective(r),
	}
	if s := g.rollouts[r.service.Name]; s != nil {
		wanted.Versions, wanted.IDHash = g.versionsOf(s), versionHash(r)
	}
	return wanted
}

// pauseObjective returns the shortest objective for pauses of streams on the upstreams of the
// request's service, or 0 if there is none.
func pauseObjective(r *request) time.Duration {
	if r.config == nil {
		return 0
	}
	return r.config.PauseObjective(r.service.Name)
}

// connectionShare returns this entry's share of the connections that an upstream
// accepts from all entries together; 0 means no limit.
func connectionShare(s *serving.Service, entries int) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/entries, 1)
}

// noUpstreamRefusal returns the refusal of a request for which no upstream could be
// picked. The caller holds mu.
func (g *Gateway) noUpstreamRefusal(now time.Time, r *request) *refusal {
	ready := g.table.Count(r.service.Name)
	if refused := g.backoffRefusal(now, r); refused != nil {
		return refused
	}
	code := reason.NoUpstream
	if ready > len(r.progress.tried) {
		code = reason.QueueFull
	}
	return newRefusal(http.StatusServiceUnavailable, code, noUpstreamRetryAfter, "upstreams", ready)
}

// backoffRefusal returns a refusal if each upstream of the request's service has asked
// for a pause (503 with Retry-After) or is limited and takes nothing more from this entry
// now, and nil otherwise. Its Retry-After is the time until the first of the pauses ends,
// or until the limits allow the request, if that is earlier. The caller holds mu.
func (g *Gateway) backoffRefusal(now time.Time, r *request) *refusal {
	wanted := g.placementRequest(r)
	blocked := g.table.Blocked(now, wanted)
	if blocked.Paused+blocked.Limited == 0 || blocked.Paused+blocked.Limited < g.table.Count(r.service.Name) {
		return nil
	}
	pauseLeft := blocked.PausedUntil.Sub(now)
	if blocked.Limited == 0 {
		return newRefusal(http.StatusServiceUnavailable, reason.UpstreamsPaused, pauseLeft, "resting", blocked.Paused)
	}
	wait := max(g.limits.Wait(wanted.TrueTime, wanted.ServiceKey, blocked.Rate), minRetryAfter)
	if blocked.Paused > 0 {
		wait = min(wait, pauseLeft)
	}
	return newRefusal(http.StatusServiceUnavailable, reason.UpstreamsLimited, wait,
		"resting", blocked.Paused, "limited", blocked.Limited, "limit_rate", blocked.Rate)
}

// deadlineRefusal returns a refusal if the predicted time to the first event exceeds
// the deadline or, by too much, the route's objective. A long prompt that would miss the
// objective even on an idle upstream is not refused for its length: its bound is the
// time that it takes there plus half of the usual bound.
func deadlineRefusal(now time.Time, r *request, c placement.Choice) *refusal {
	remaining := r.deadline.Sub(now)
	bound := remaining
	if o := time.Duration(lateFactor * float64(r.route.Objective)); o > 0 {
		bound = min(bound, max(o, c.PredictedIdle+o/2))
	}
	if c.Predicted <= bound && remaining >= silence.MinRemaining {
		return nil
	}
	wait := max(c.Predicted-bound, minRetryAfter)
	return newRefusal(http.StatusServiceUnavailable, reason.DeadlineUnmet, wait, "bound_ms", bound.Milliseconds(), "own_ms", c.PredictedIdle.Milliseconds())
}

// unservedRefusal returns the refusal for a request that has failed and may not be
// retried. It is sent if none of the upstreams can have run the request.
func (g *Gateway) unservedRefusal(r *request) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused := g.backoffRefusal(time.Now(), r); refused != nil {
		return refused
	}
	code := reason.NoUpstream
	if r.progress.reason == reason.UpstreamBusy {
		code = reason.QueueFull
	}
	return newRefusal(http.StatusServiceUnavailable, code, max(r.progress.predicted, minRetryAfter))
}
