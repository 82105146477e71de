package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
)

// AdoptEvent says that another entry handed over a request that it had
// accepted. It is not admitted again: limits and a drain don't refuse it.
type AdoptEvent struct {
	ID     string
	Labels api.Labels
	// Deadline is that of the accepting entry.
	Deadline time.Time
	// Failed is the number of attempts that failed so far.
	Failed int
	// Prefix is a hash of the start of the prompt, or 0.
	Prefix uint64
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
	// Dispatched says that an upstream was given the request before.
	Dispatched bool
}

// ReleaseEvent says that the driver gives a request to another entry. The core
// forgets it: no further action follows for it, and events about it change
// nothing.
type ReleaseEvent struct{ ID string }

func (AdoptEvent) event()   {}
func (ReleaseEvent) event() {}

// adopt goes on with a request of another entry.
func (c *Core) adopt(now time.Time, ev AdoptEvent) []Action {
	res, ok := c.catalog.Resolve(ev.Labels)
	if !ok {
		why := reason.UnknownCustomer
		if res.Service == nil {
			why = reason.UnknownService
		}
		return []Action{RefuseAction{ID: ev.ID, Reason: why, Ran: ranBefore(ev.Dispatched)}}
	}
	r := c.accept(now, RequestEvent{ID: ev.ID, Labels: ev.Labels, Prefix: ev.Prefix, Fingerprint: ev.Fingerprint}, res)
	r.deadline = ev.Deadline
	r.route.Deadline = ev.Deadline
	c.wakes.set(r, r.deadline)
	r.attempts = ev.Failed
	r.ran = ranBefore(ev.Dispatched)
	accepted := AcceptAction{ID: r.id, Resolution: res, Deadline: r.deadline}
	if c.poison.Poisoned(now, r.fingerprint) {
		return append([]Action{accepted}, c.refuse(now, r, reason.Poison)...)
	}
	c.enqueue(r)
	return []Action{accepted}
}

// ranBefore is what is known about the attempts of an earlier owner.
func ranBefore(dispatched bool) reason.Ran {
	if dispatched {
		return reason.RanUnknown
	}
	return reason.RanNo
}

// release forgets a request.
func (c *Core) release(now time.Time, ev ReleaseEvent) {
	r := c.requests[ev.ID]
	if r == nil {
		return
	}
	if r.phase == phaseRunning {
		c.table.Ended(now, r.upstream, false)
		c.setSuspect(r, r.upstream, -1)
	}
	c.remove(r)
}

// StopEvent says that the entry ends: every request that is left gets its final
// answer now.
type StopEvent struct{}

func (StopEvent) event() {}

// stop refuses what waits and cancels what runs.
func (c *Core) stop(now time.Time) []Action {
	c.draining = true
	var out []Action
	list := slices.SortedFunc(maps.Values(c.requests), func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	for _, r := range list {
		switch r.phase {
		case phaseRunning:
			r.timedOut = true
			out = append(out, CancelAction{ID: r.id})
		case phaseClaim:
			r.timedOut = true
		default:
			out = append(out, c.refuse(now, r, reason.Draining)...)
		}
	}
	return out
}
