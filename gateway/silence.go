package gateway

import (
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/silence"
	"jaylink/upstream/exchange"
)

const (
	// The head timeout of a request that another upstream could take is its route's
	// objective, but at least minHeadTimeout, plus headTimeoutFactor times the
	// predicted time to the first event.
	minHeadTimeout    = 150 * time.Millisecond
	headTimeoutFactor = 2
	// A stream that has sent no event for pauseFactor times the route's pause
	// objective, and at least minPauseLimit, is resumed at another upstream.
	pauseFactor   = 3
	minPauseLimit = 700 * time.Millisecond
	// alternativePoll is how often another upstream is looked for while one is silent.
	alternativePoll = 100 * time.Millisecond
)

// reservation is what the next attempt of a request needs: an upstream, a retry from the
// service's budget and, if the upstream is limited, one of its permits.
type reservation struct {
	choice placement.Choice
	permit placement.Permit
}

// silentAttempt returns what is decided about an attempt by, given the number of attempts that
// may have run.
func silentAttempt(r *request, attempts int) silence.Attempt {
	return silence.Attempt{
		Repeatable: r.route.Repeatable(), Partial: r.progress.partial, Attempts: attempts, MaxAttempts: r.route.MaxAttempts,
	}
}

// headTimeout returns how long to wait for the status and headers of an answer before another
// upstream is looked for. It is 0, which means no limit, if the request can't be sent to one.
func headTimeout(r *request, predicted time.Duration) time.Duration {
	if !silentAttempt(r, r.progress.attempts+1).MayMove() {
		return 0
	}
	return max(r.route.Objective, minHeadTimeout) + headTimeoutFactor*predicted
}

// nextEventDeadline returns when the next event of a stream is overdue. It is the zero
// time, which means no limit, if the stream can't be resumed at another upstream.
func nextEventDeadline(r *request) time.Time {
	if !silentAttempt(r, r.progress.attempts).MayMove() {
		return time.Time{}
	}
	return time.Now().Add(max(pauseFactor*r.route.PauseObjective, minPauseLimit))
}

// onSilence returns what is done when an upstream is silent for too long: the attempt is given
// up once the next one is certain to be made. attempts is the number of attempts that may have
// run, including this one.
func (g *Gateway) onSilence(r *request, attempts int) exchange.Silence {
	kept := false
	return func() time.Duration {
		if g.reserveAlternative(r, attempts) {
			g.metrics.silentMoved.Inc(1)
			return 0
		}
		if !kept {
			kept = true
			g.metrics.silentKept.Inc(1)
			g.log.Info("upstream silent, no alternative", "request_id", r.RequestID, "upstream", r.progress.upstream.ID,
				"attempts", attempts, "last_event", r.progress.lastEvent, "ms", time.Since(r.arrived).Milliseconds())
		}
		return alternativePoll
	}
}

// reserveAlternative reserves another upstream for a request whose upstream is silent or has
// failed, and reports whether there is one.
func (g *Gateway) reserveAlternative(r *request, attempts int) bool {
	if !silentAttempt(r, attempts).MayMove() {
		return false
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	choice, found := g.table.Pick(now, g.placementRequest(r))
	other := silence.Alternative{Found: found, Predicted: choice.Predicted, Remaining: r.deadline.Sub(now)}
	if !other.Suits() || !g.retryBudget(r.service.Name).Take(now, g.entryCount()) {
		return false
	}
	r.progress.reserved = &reservation{choice, g.usePermit(r, choice)}
	return true
}

// usePermit uses a permit of a chosen upstream if that is limited. The caller holds mu.
func (g *Gateway) usePermit(r *request, choice placement.Choice) placement.Permit {
	if !choice.Limited {
		return placement.Permit{}
	}
	g.metrics.limitedAttempts.Inc(1)
	return g.table.UsePermit(g.placementRequest(r), choice)
}

// takeReserved returns the reserved upstream, which the next attempt then uses, or nil.
func (p *progress) takeReserved() *reservation {
	reserved := p.reserved
	p.reserved = nil
	return reserved
}

// releaseReserved gives back what was reserved for an attempt that is not made.
func (g *Gateway) releaseReserved(r *request) {
	reserved := r.progress.takeReserved()
	if reserved == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget(r.service.Name).GiveBack(time.Now())
	g.table.ReturnPermit(g.placementRequest(r), reserved.permit)
}
