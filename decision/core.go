// Package decision decides what an entry does with each request: whom it
// belongs to, whether it is accepted, when and where it is run, whether an
// attempt is repeated, and what its caller is told.
//
// Core is a state machine. It does no I/O, starts no goroutine, reads no clock
// and draws no randomness. The driver calls Step with the time and one event
// and carries out the returned actions in order:
//
//	for _, a := range core.Step(now, event) { carryOut(a) }
//
// Each DispatchAction is answered by exactly one AttemptEvent, and each
// ClaimAction by exactly one ClaimEvent. The driver calls Step with a TickEvent
// at the time that NextWake returns, or earlier. The same events at the same
// times give the same actions, so a recorded run can be replayed.
//
// Every request that is passed in gets exactly one final action: a
// FinishAction, a ReplayAction or a RefuseAction, but for those that a
// ReleaseEvent takes out.
package decision

import (
	"container/list"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/api"
	"jaylink/decision/admission"
	"jaylink/decision/poison"
	"jaylink/decision/reason"
	"jaylink/decision/recovery"
	"jaylink/decision/retry"
	"jaylink/decision/route"
)

// Config has what a Core is built from.
type Config struct {
	// Zone and Region are those of the entry.
	Zone, Region string
	Filters      []route.Filter
	Scorers      []route.Scorer
	Limits       []admission.Limit
	Rules        []retry.Rule
	// Recovery plans for streams on reclaimed upstreams; nil leaves them.
	Recovery *recovery.Planner
	// Observer is optional.
	Observer Observer
}

// Core decides for one entry. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	catalog  *api.Catalog
	table    *route.Table
	requests map[string]*request
	queue    queue
	wakes    wakes
	usage    usage
	entries  int
	draining bool
	poison   *poison.Tracker
	// number counts accepted requests, and stepped is the time of the last
	// step.
	number  uint64
	stepped time.Time
}

// phase says what a request waits for.
type phase int

const (
	phaseQueued  phase = iota // an upstream
	phaseBackoff              // the time of its next attempt
	phaseClaim                // a ClaimEvent
	phaseRunning              // an AttemptEvent
)

// request is the state of one accepted request.
type request struct {
	id  string
	key string
	// fingerprint is a hash of the request's content.
	fingerprint uint64
	res         api.Resolution
	route       route.Request
	phase       phase
	claimed     bool
	attempts    int
	// unreached counts attempts that found no upstream at the address.
	unreached int
	upstream  string
	retry     reason.Reason
	ran       reason.Ran
	accepted  time.Time
	started   time.Time
	deadline  time.Time
	move      move
	// number is the request's place in the order of acceptance.
	number uint64
	// due is when the request needs attention; place is its index in wakes.
	due   time.Time
	place int
	// element, flow and queue are where a queued request waits.
	element *list.Element
	flow    *flow
	queue   *serviceQueue
	// timedOut says that the deadline passed while an attempt was running.
	timedOut bool
}

// New returns a core with an empty configuration.
func New(cfg Config) *Core {
	return &Core{
		cfg:      cfg,
		catalog:  api.NewCatalog(nil),
		table:    route.NewTable(cfg.Filters, cfg.Scorers),
		requests: map[string]*request{},
		usage:    newUsage(),
		entries:  1,
		poison:   poison.NewTracker(),
	}
}

// Table returns the upstream table. The caller must not change it.
func (c *Core) Table() *route.Table { return c.table }

// Step takes one event and returns the actions that it leads to.
func (c *Core) Step(now time.Time, ev Event) []Action {
	var out []Action
	c.stepped = now
	switch ev := ev.(type) {
	case ConfigEvent:
		c.catalog = ev.Catalog
		c.table.SetObjects(ev.Catalog.Upstreams())
		for _, name := range ev.Leaving {
			c.table.SetLeaving(name, true)
		}
	case EntriesEvent:
		c.entries = max(ev.Live, 1)
		c.table.SetEntries(c.entries)
		c.setRecoveryEntries()
	case UsageEvent:
		c.usage.report(ev.Peer, ev.InFlight)
	case RequestEvent:
		out = c.arrive(now, ev)
	case ClaimEvent:
		out = c.claimed(now, ev)
	case AttemptEvent:
		out = c.attemptEnded(now, ev)
	case CrashEvent:
		out = c.crashed(now, ev.Crash)
	case LoadEvent:
		c.table.Report(ev.Upstream, ev.Load)
	case CacheEvent:
		c.table.ReportCache(ev.Upstream, ev.Report)
	case LeavingEvent:
		c.table.SetLeaving(ev.Upstream, ev.Leaving)
	case DrainEvent:
		c.draining = true
	case AdoptEvent:
		out = c.adopt(now, ev)
	case ReleaseEvent:
		c.release(now, ev)
	case ReclaimEvent:
		out = c.reclaim(now, ev)
	case MovedEvent:
		out = c.moved(ev)
	case StopEvent:
		out = c.stop(now)
	case TickEvent:
		out = c.expire(now)
	default:
		panic(fmt.Sprintf("decision: unknown event %T", ev))
	}
	return append(out, c.dispatch(now)...)
}

// NextWake returns when the core wants its next TickEvent, and false if it
// waits for no time.
func (c *Core) NextWake() (time.Time, bool) {
	if len(c.wakes) == 0 {
		return time.Time{}, false
	}
	next := c.wakes[0].due
	if recheck := c.stepped.Add(queueRecheck); c.queue.size > 0 && recheck.Before(next) {
		next = recheck
	}
	return next, true
}

// arrive resolves a new request and admits or refuses it.
func (c *Core) arrive(now time.Time, ev RequestEvent) []Action {
	res, ok := c.catalog.Resolve(ev.Labels)
	if !ok {
		why := reason.UnknownCustomer
		if res.Service == nil {
			why = reason.UnknownService
		}
		return []Action{RefuseAction{ID: ev.ID, Reason: why, Ran: reason.RanNo}}
	}
	if ev.NoCompletion && res.Protocol == api.ProtocolCompletions {
		return []Action{RefuseAction{ID: ev.ID, Reason: reason.BadRequest, Ran: reason.RanNo}}
	}
	if c.draining {
		return []Action{RefuseAction{ID: ev.ID, Reason: reason.Draining, Ran: reason.RanNo, RetryAfter: drainRetryAfter}}
	}
	if c.poison.Poisoned(now, ev.Fingerprint) {
		return []Action{RefuseAction{ID: ev.ID, Reason: reason.Poison, Ran: reason.RanNo}}
	}
	limits := c.admissionRequest(&res)
	if v := admission.Check(c.cfg.Limits, limits); v.Refusal != "" {
		c.observeLimit(now, ev.ID, limits, v.Refusal)
		return []Action{RefuseAction{ID: ev.ID, Reason: v.Refusal, Ran: reason.RanNo, RetryAfter: v.RetryAfter}}
	}
	r := c.accept(now, ev, res)
	actions := []Action{AcceptAction{ID: r.id, Resolution: res, Deadline: r.deadline}}
	if !res.Idempotent && ev.Key != "" {
		r.phase = phaseClaim
		return append(actions, ClaimAction{ID: r.id})
	}
	c.enqueue(r)
	return actions
}

// enqueue lets a request wait for an upstream. It needs attention when its
// deadline can't be met any more, or once that has passed if it already ran.
func (c *Core) enqueue(r *request) {
	c.suspect(r)
	c.queue.push(r)
	due := r.deadline
	if r.attempts == 0 {
		due = due.Add(-c.usage.timing(r.res.Service.Name).fastest)
	}
	c.wakes.set(r, due)
}

func (c *Core) accept(now time.Time, ev RequestEvent, res api.Resolution) *request {
	r := &request{
		id:       ev.ID,
		key:      ev.Key,
		res:      res,
		ran:      reason.RanNo,
		accepted: now,
		deadline: now.Add(res.Timeout),
		number:   c.number,

		fingerprint: ev.Fingerprint,
		place:       noPlace,
	}
	c.number++
	r.route = route.Request{
		ID:        ev.ID,
		Seed:      xxhash.Sum64String(ev.ID),
		Service:   res.Service.Name,
		Customer:  res.Customer.Name,
		Class:     res.Class,
		Upstreams: res.Upstreams,
		Zone:      c.cfg.Zone,
		Region:    c.cfg.Region,
		Prefix:    ev.Prefix,
		Accepted:  now,
		Deadline:  r.deadline,
	}
	c.requests[r.id] = r
	c.usage.add(r)
	c.wakes.set(r, r.deadline)
	c.observeAccept(now, r)
	return r
}

// claimed goes on with a request whose key has been settled.
func (c *Core) claimed(now time.Time, ev ClaimEvent) []Action {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseClaim {
		return nil
	}
	switch ev.Result {
	case ClaimWon:
		r.claimed = true
		if r.timedOut || !now.Before(r.deadline) {
			return c.refuse(now, r, reason.TimedOut)
		}
		if c.poison.Poisoned(now, r.fingerprint) {
			return c.refuse(now, r, reason.Poison)
		}
		c.enqueue(r)
		return nil
	case ClaimDone:
		c.remove(r)
		return []Action{ReplayAction{ID: r.id}}
	case ClaimHeld:
		// This request did not run, but the key's work may have.
		r.ran = reason.RanUnknown
		return c.refuse(now, r, reason.KeyInProgress)
	case ClaimMismatch:
		return c.refuse(now, r, reason.KeyReused)
	case ClaimLost:
		r.ran = reason.RanUnknown
		return c.refuse(now, r, reason.OutcomeUnknown)
	case ClaimUnkept:
		r.ran = reason.RanYes
		return c.refuse(now, r, reason.OutcomeNotKept)
	default:
		return c.refuse(now, r, reason.ClaimUnavailable)
	}
}

// dispatch starts queued requests while upstreams will take them.
func (c *Core) dispatch(now time.Time) []Action {
	var out []Action
	c.queue.each(func(r *request) bool {
		if !now.Before(r.deadline) {
			return false // the tick that refuses it is due
		}
		u := c.pick(now, r)
		if u == nil {
			return false
		}
		out = append(out, c.start(now, r, u))
		return true
	})
	return out
}

func (c *Core) start(now time.Time, r *request, u *route.Upstream) Action {
	c.observeRoute(now, r, u.Name)
	r.phase = phaseRunning
	r.attempts++
	r.started = now
	r.upstream = u.Name
	c.wakes.set(r, r.deadline)
	c.table.Started(u.Name, r.route.Prefix)
	c.table.Tell(now, &r.route, u)
	c.setSuspect(r, u.Name, 1)
	if r.attempts == 1 {
		retry.FirstAttempt(c.cfg.Rules)
	}
	a := DispatchAction{ID: r.id, Attempt: r.attempts, Upstream: u.Name, Spec: u.Spec, Retry: r.retry}
	if r.res.Idempotent {
		a.Limits = retry.LimitsOf(c.cfg.Rules, r.res.Class)
	}
	return a
}

// attemptEnded finishes a request or decides about its next attempt.
func (c *Core) attemptEnded(now time.Time, ev AttemptEvent) []Action {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseRunning || r.attempts != ev.Attempt {
		return nil
	}
	c.table.Ended(now, ev.Upstream, blamesUpstream(ev.Outcome))
	c.setSuspect(r, ev.Upstream, -1)
	r.ran = r.ran.Join(ev.Ran)
	if ev.Outcome == OutcomeDone {
		c.usage.observe(r, now)
		c.remove(r)
		return []Action{FinishAction{ID: r.id}}
	}
	if c.movesOn(now, r, ev) {
		return nil
	}
	if ev.Outcome == OutcomeTooLarge {
		return c.refuse(now, r, reason.AnswerTooLarge)
	}
	if ev.Outcome == OutcomeRejected {
		return c.refuse(now, r, reason.BadRequest)
	}
	if r.timedOut || ev.Outcome == OutcomeCanceled {
		return c.refuse(now, r, reason.TimedOut)
	}
	out := c.blame(now, r, ev)
	if c.poison.Poisoned(now, r.fingerprint) {
		return append(out, c.refuse(now, r, reason.Poison)...)
	}
	return append(out, c.again(now, r, ev)...)
}

// expire ends requests whose deadline has passed, or can't be met any more, and
// wakes those that backed off.
func (c *Core) expire(now time.Time) []Action {
	var out []Action
	for len(c.wakes) > 0 && !now.Before(c.wakes[0].due) {
		r := c.wakes[0]
		switch {
		case r.phase == phaseBackoff && now.Before(r.deadline):
			c.enqueue(r)
		default:
			out = append(out, c.timeOut(now, r)...)
		}
	}
	return out
}

func (c *Core) timeOut(now time.Time, r *request) []Action {
	c.wakes.drop(r)
	switch {
	case r.phase == phaseRunning:
		r.timedOut = true
		return []Action{CancelAction{ID: r.id}}
	case r.phase == phaseClaim:
		// The claim's answer is still to come and ends the request.
		r.timedOut = true
		return nil
	case r.attempts == 0 && now.Before(r.deadline):
		return c.refuse(now, r, reason.DeadlineUnmet)
	case r.attempts == 0:
		return c.refuse(now, r, reason.NoUpstream)
	}
	return c.refuse(now, r, reason.TimedOut)
}

// refuse gives a request its final answer.
func (c *Core) refuse(_ time.Time, r *request, why reason.Reason) []Action {
	c.remove(r)
	after := admissionDelay(why, c.admissionRequest(&r.res))
	return []Action{RefuseAction{ID: r.id, Reason: why, Ran: r.ran, RetryAfter: after}}
}

func (c *Core) remove(r *request) {
	c.queue.remove(r)
	c.wakes.drop(r)
	c.usage.drop(r)
	delete(c.requests, r.id)
}
