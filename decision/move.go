package decision

import (
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/decision/recovery"
	"jaylink/decision/route"
)

// ReclaimEvent says that the host of an upstream will be reclaimed. Streams
// are the completions that the entry has there and that may go on elsewhere.
type ReclaimEvent struct {
	Upstream string
	Deadline time.Time
	Streams  []recovery.Stream
}

// MovedEvent answers a MoveAction: the attempt may be ended now.
type MovedEvent struct {
	ID      string
	Attempt int
}

// MoveAction asks the driver to wait for After, to have the KV cache copied if
// Cache is set, and then to pass a MovedEvent, whether that worked or not.
type MoveAction struct {
	ID      string
	Attempt int
	// From and To are the upstreams; To is nil if any will do.
	From, To *route.Upstream
	Cache    bool
	After    time.Duration
	Deadline time.Time
}

func (ReclaimEvent) event() {}
func (MovedEvent) event()   {}
func (MoveAction) action()  {}

// move is how far a request's move to another upstream has come.
type move struct {
	// planned says that a MoveAction was given for the running attempt.
	planned bool
	// ending says that the attempt was canceled in order to move.
	ending bool
	// target is the upstream to go on with; "" if any will do.
	target string
	// count is the number of attempts that were ended in order to move. They
	// don't count as failed.
	count int
}

func (c *Core) setRecoveryEntries() {
	if c.cfg.Recovery != nil {
		c.cfg.Recovery.SetEntries(c.entries)
	}
}

// reclaim plans what becomes of the streams on an upstream.
func (c *Core) reclaim(now time.Time, ev ReclaimEvent) []Action {
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
	for _, s := range c.cfg.Recovery.Plan(now, ev.Deadline.Sub(now), streams, c.targets(streams, from)) {
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

// targets returns the upstreams that could go on with the streams. All streams
// of an upstream belong to services that select it, and the first one's service
// stands for them; a target that can't run a stream is not used in the end.
func (c *Core) targets(streams []recovery.Stream, from *route.Upstream) []recovery.Target {
	if len(streams) == 0 {
		return nil
	}
	coming := map[string]int{}
	for _, r := range c.requests {
		coming[r.move.target]++
	}
	var out []recovery.Target
	for _, u := range c.table.Candidates(c.requests[streams[0].ID].res.Upstreams) {
		if u.Leaving || u.Failures > 0 {
			continue
		}
		out = append(out, recovery.Target{
			Name: u.Name, SameRegion: u.Spec.Region == from.Spec.Region, Free: u.Slots() - u.Busy() - coming[u.Name],
		})
	}
	return out
}

// moved ends the running attempt of a request, so that it goes on elsewhere.
func (c *Core) moved(ev MovedEvent) []Action {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseRunning || r.attempts != ev.Attempt || !r.move.planned || r.timedOut {
		return nil
	}
	r.move.ending = true
	return []Action{CancelAction{ID: r.id}}
}

// movesOn puts a request whose attempt ended because its upstream leaves back
// into the queue. It returns false if the attempt ended for another reason.
func (c *Core) movesOn(now time.Time, r *request, ev AttemptEvent) bool {
	ending := r.move.ending
	r.move.planned, r.move.ending = false, false
	u := c.table.Get(ev.Upstream)
	broken := u != nil && u.Leaving && blamesUpstream(ev.Outcome) && ev.Resumable
	if r.timedOut || !r.res.Idempotent || !ending && !broken || c.poison.Poisoned(now, r.fingerprint) {
		return false
	}
	r.move.count++
	r.retry = reason.UpstreamLeaving
	c.enqueue(r)
	return true
}

// pick chooses the upstream for a request: the one that its move was planned
// for if that will take it, otherwise the best one.
func (c *Core) pick(now time.Time, r *request) *route.Upstream {
	target := r.move.target
	if target != "" {
		r.move.target = ""
		if u := c.table.Usable(now, &r.route, target); u != nil {
			return u
		}
	}
	return c.table.Pick(now, &r.route)
}
