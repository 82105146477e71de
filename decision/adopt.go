package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
)

// AdoptEvent reports that another entry handed over a request that it had
// accepted. The request skips admission: it is not refused because of limits or
// because this entry is draining.
type AdoptEvent struct {
	ID     string
	Labels api.Labels
	// Deadline is the deadline that the accepting entry set.
	Deadline time.Time
	// Failed is the number of attempts that have failed so far.
	Failed int
	// Prefix is a hash of the start of the prompt, or 0.
	Prefix uint64
	// Fingerprint is a hash of the request's content.
	Fingerprint uint64
	// Dispatched is set if the request was sent to an upstream before.
	Dispatched bool
}

// ReleaseEvent reports that the driver hands a request over to another entry.
// The core drops the request: it returns no more actions for it and ignores
// events about it.
type ReleaseEvent struct{ ID string }

func (AdoptEvent) event()   {}
func (ReleaseEvent) event() {}

// handleAdopt accepts and queues a request that another entry handed over.
func (c *Core) handleAdopt(now time.Time, ev AdoptEvent) []Action {
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
	c.timers.set(r, r.deadline)
	r.attempts = ev.Failed
	r.ran = ranBefore(ev.Dispatched)
	accepted := AcceptAction{ID: r.id, Resolution: res, Deadline: r.deadline}
	if c.poison.Poisoned(now, r.fingerprint) {
		return append([]Action{accepted}, c.refuse(now, r, reason.Poison)...)
	}
	c.enqueue(r)
	return []Action{accepted}
}

// ranBefore returns what is known about attempts that a previous owner made.
func ranBefore(dispatched bool) reason.Ran {
	if dispatched {
		return reason.RanUnknown
	}
	return reason.RanNo
}

// handleRelease drops a request and frees its slot on the upstream.
func (c *Core) handleRelease(now time.Time, ev ReleaseEvent) {
	r := c.requests[ev.ID]
	if r == nil {
		return
	}
	if r.phase == phaseRunning {
		c.table.Ended(now, r.upstream, false)
		c.countSuspect(r, r.upstream, -1)
	}
	c.remove(r)
}

// StopEvent reports that the entry is shutting down: every remaining request
// gets its final action, as soon as pending attempts and claims end.
type StopEvent struct{}

func (StopEvent) event() {}

// handleStop refuses the requests that are queued or in backoff, and cancels
// running attempts. Requests that wait for a claim are refused when the
// ClaimEvent arrives.
func (c *Core) handleStop(now time.Time) []Action {
	c.draining = true
	var out []Action
	list := slices.SortedFunc(maps.Values(c.requests), func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
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
