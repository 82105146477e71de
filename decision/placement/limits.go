package placement

import (
	"time"

	"jaylink/decision/upstreamlimit"
)

// limitedCost is the additional cost, in milliseconds, of an upstream that has stated a
// limit a short time ago: it gets requests when the others have work queued.
const limitedCost = 50.0

// SetLimits sets the limits that upstreams have stated. RefreshLimits must be called
// after each change of a limit.
func (t *Table) SetLimits(limits *upstreamlimit.Limits) { t.limits = limits }

// RefreshLimits adopts a changed limit.
func (t *Table) RefreshLimits() { t.rebuild() }

// limitOf returns the limit on an upstream, or nil.
func (t *Table) limitOf(s *upstreamState) *upstreamlimit.Limit {
	if t.limits == nil {
		return nil
	}
	return t.limits.Of(s.Instance())
}

// urgencyLevel returns the level of urgency with which a request uses the permits of
// limited upstreams: 0 while other upstreams can take it.
func (t *Table) urgencyLevel(now time.Time, r *Request) int {
	if len(t.limitedStates[r.Service.Name]) == 0 || t.hasUnlimited(now, r.Service.Name) {
		return 0
	}
	return t.limits.Level(r.TrueTime, r.ServiceKey, r.Priority, r.Customer)
}

// hasUnlimited reports whether an upstream of a service without a limit takes requests.
func (t *Table) hasUnlimited(now time.Time, service string) bool {
	paused, _ := t.Paused(now, service)
	for _, s := range t.limitedStates[service] {
		if s.paused(now) {
			paused--
		}
	}
	return t.readyCount[service]-paused > len(t.limitedStates[service])
}

// permitted reports whether an upstream's limit allows this entry a request now.
func (t *Table) permitted(r *Request, s *upstreamState, level int) bool {
	return s.limit == nil || t.limits.Available(r.TrueTime, s.limit, r.ServiceKey, level)
}

// limitCost returns the additional cost of an upstream because of its limit.
func (t *Table) limitCost(r *Request, s *upstreamState) float64 {
	if s.limit == nil || !t.limits.Recent(r.TrueTime, s.limit) {
		return 0
	}
	return limitedCost
}

// Permit is a permit that UsePermit has used. The zero value is none.
type Permit struct {
	limit  *upstreamlimit.Limit
	permit upstreamlimit.Permit
}

// UsePermit uses a permit of the chosen upstream if that is limited. It must be called
// for each attempt, before another call of Pick.
func (t *Table) UsePermit(r *Request, c Choice) Permit {
	s := t.states[c.Upstream.ID]
	if s == nil || s.limit == nil {
		return Permit{}
	}
	t.limits.CountUse(r.TrueTime, r.ServiceKey, r.Customer)
	return Permit{s.limit, t.limits.Take(s.limit)}
}

// ReturnPermit returns a permit that was used for an attempt that is not made.
func (t *Table) ReturnPermit(r *Request, p Permit) {
	if p.limit == nil {
		return
	}
	t.limits.GiveBack(p.limit, p.permit)
	t.limits.UncountUse(r.TrueTime, r.ServiceKey, r.Customer)
}

// Blocked is what keeps requests from the upstreams of a service.
type Blocked struct {
	// Paused is the number of upstreams that have asked for a pause, and PausedUntil when
	// the first of these pauses ends.
	Paused      int
	PausedUntil time.Time
	// Limited is the number of other upstreams whose limit allows this entry no request
	// now, and Rate the requests per second that the limits of all upstreams allow this
	// entry.
	Limited int
	Rate    float64
}

// Blocked returns what keeps a request from the upstreams of its service.
func (t *Table) Blocked(now time.Time, r *Request) Blocked {
	var b Blocked
	b.Paused, b.PausedUntil = t.Paused(now, r.Service.Name)
	limited := t.limitedStates[r.Service.Name]
	if len(limited) == 0 {
		return b
	}
	level := t.urgencyLevel(now, r)
	share := t.limits.Share(r.TrueTime, r.ServiceKey)
	for _, s := range limited {
		b.Rate += s.limit.Rate() * share
		if !s.paused(now) && !t.permitted(r, s, level) {
			b.Limited++
		}
	}
	return b
}
