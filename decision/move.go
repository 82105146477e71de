package decision

import (
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/decision/recovery"
	"jaylink/decision/route"
)

// ReclaimEvent reports that the host of an upstream will be reclaimed at
// Deadline. Streams are the completions of this entry on that upstream that
// another upstream could continue.
type ReclaimEvent struct {
	Upstream string
	Deadline time.Time
	Streams  []recovery.Stream
}

// MovedEvent is the response to a MoveAction: the attempt may be ended now.
type MovedEvent struct {
	ID      string
	Attempt int
}

// MoveAction asks the driver to wait for After, to have the KV cache copied if
// Cache is set, and then to pass a MovedEvent, whether or not the copy
// succeeded.
type MoveAction struct {
	ID      string
	Attempt int
	// From and To are the source and the target; To is nil if any upstream may
	// continue the request.
	From, To *route.Upstream
	Cache    bool
	After    time.Duration
	Deadline time.Time
}

func (ReclaimEvent) event() {}
func (MovedEvent) event()   {}
func (MoveAction) action()  {}

// move is the progress of migrating a request to another upstream.
type move struct {
	// planned is set once a MoveAction was returned for the running attempt.
	planned bool
	// canceling is set once the attempt was canceled for the migration.
	canceling bool
	// target is the upstream to continue on; "" if any will do.
	target string
	// count is the number of attempts that were ended by a migration. They
	// don't count as failed attempts.
	count int
}

func (c *Core) setRecoveryEntries() {
	if c.cfg.Recovery != nil {
		c.cfg.Recovery.SetEntries(c.entries)
	}
}

// handleReclaim plans the migration of the streams on an upstream.
func (c *Core) handleReclaim(now time.Time, ev ReclaimEvent) []Action {
	from := c.table.Get(ev.Upstream)
	if from == nil || c.cfg.Recovery == nil {
		return nil
	}
	c.table.SetLeaving(ev.Upstream, true)
	var streams []recovery.Stream
	for _, s := range ev.Streams {
		r := c.requests[s.ID]
		if r == nil || r.phase != phaseRunning || r.upstream != ev.Upstream || r.move.planned || !r.res.Idempotent {
			continue
		}
		s.Urgent = r.res.Class == api.ClassUrgent
		streams = append(streams, s)
	}
	var out []Action
	for _, s := range c.cfg.Recovery.Plan(now, ev.Deadline.Sub(now), streams, c.recoveryTargets(streams, from)) {
		if s.Choice == recovery.Finish {
			continue
		}
		r := c.requests[s.ID]
		r.move.planned = true
		r.move.target = s.Target
		out = append(out, MoveAction{
			ID: s.ID, Attempt: r.attempts, From: from, To: c.table.Get(s.Target),
			Cache: s.Choice == recovery.MoveCache, After: s.After, Deadline: ev.Deadline,
		})
	}
	return out
}

// recoveryTargets returns the upstreams that could continue the streams. It
// uses the upstreams of the first stream's service for all of them, because all
// services with streams on this upstream select it. A target that can't run a
// stream is discarded when the stream is dispatched.
func (c *Core) recoveryTargets(streams []recovery.Stream, from *route.Upstream) []recovery.Target {
	if len(streams) == 0 {
		return nil
	}
	incoming := map[string]int{}
	for _, r := range c.requests {
		incoming[r.move.target]++
	}
	var out []recovery.Target
	for _, u := range c.table.Candidates(c.requests[streams[0].ID].res.Upstreams) {
		if u.Leaving || u.Failures > 0 {
			continue
		}
		out = append(out, recovery.Target{
			Name: u.Name, SameRegion: u.Spec.Region == from.Spec.Region, Free: u.Slots() - u.Busy() - incoming[u.Name],
		})
	}
	return out
}

// handleMoved cancels the running attempt of a request, so that another
// upstream continues it.
func (c *Core) handleMoved(ev MovedEvent) []Action {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseRunning || r.attempts != ev.Attempt || !r.move.planned || r.timedOut {
		return nil
	}
	r.move.canceling = true
	return []Action{CancelAction{ID: r.id}}
}

// requeueForMove queues a request again if its attempt ended because of a
// migration, or because the upstream was leaving. It returns false if the
// attempt ended for another reason.
func (c *Core) requeueForMove(now time.Time, r *request, ev AttemptEvent) bool {
	canceled := r.move.canceling
	r.move.planned, r.move.canceling = false, false
	u := c.table.Get(ev.Upstream)
	broken := u != nil && u.Leaving && countsAsUpstreamFailure(ev.Outcome) && ev.Resumable
	if r.timedOut || !r.res.Idempotent || !canceled && !broken || c.poison.Poisoned(now, r.fingerprint) {
		return false
	}
	r.move.count++
	r.retry = reason.UpstreamLeaving
	c.enqueue(r)
	return true
}

// pickUpstream returns the target of a planned migration if it is usable,
// otherwise the upstream that the routing table ranks best. It returns nil if
// there is none.
func (c *Core) pickUpstream(now time.Time, r *request) *route.Upstream {
	target := r.move.target
	if target != "" {
		r.move.target = ""
		if u := c.table.Usable(now, &r.route, target); u != nil {
			return u
		}
	}
	return c.table.Pick(now, &r.route)
}
