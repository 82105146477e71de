// Package decision contains the scheduling logic of an entry, the gateway
// process between callers and upstreams: which service and customer a request
// belongs to, whether it is admitted, when and on which upstream it runs,
// whether a failed attempt is retried, and what the caller is told.
//
// Core is a state machine. It does no I/O, starts no goroutines, reads no clock
// and uses no randomness. The driver calls Step with the current time and one
// event, and carries out the returned actions in order:
//
//	for _, a := range core.Step(now, event) { execute(a) }
//
// The driver answers each DispatchAction with exactly one AttemptEvent, and
// each ClaimAction with exactly one ClaimEvent. It calls Step with a TickEvent
// no later than the time that NextWake returns. The same events at the same
// times produce the same actions, so a recorded run can be replayed.
//
// Every request passed in gets exactly one final action, a FinishAction, a
// ReplayAction or a RefuseAction, unless a ReleaseEvent removes it first.
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

// Config has the settings and plug-ins of a Core.
type Config struct {
	// Zone and Region are the availability zone and the region of the entry.
	Zone, Region string
	Filters      []route.Filter
	Scorers      []route.Scorer
	Limits       []admission.Limit
	Rules        []retry.Rule
	// Recovery plans the migration of streams off upstreams whose host is being
	// reclaimed. If it is nil, such streams are not migrated.
	Recovery *recovery.Planner
	// Observer is optional.
	Observer Observer
}

// Core is the decision state of one entry. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	catalog  *api.Catalog
	table    *route.Table
	requests map[string]*request
	queue    queue
	timers   timerHeap
	usage    usage
	entries  int
	draining bool
	poison   *poison.Tracker
	// nextSeq is the sequence number of the next accepted request, and lastStep
	// the time of the last call of Step.
	nextSeq  uint64
	lastStep time.Time
}

// phase is the state of an accepted request.
type phase int

const (
	phaseQueued  phase = iota // waits for an upstream
	phaseBackoff              // waits for the time of its next attempt
	phaseClaim                // waits for a ClaimEvent
	phaseRunning              // waits for an AttemptEvent
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
	// connectFailures counts the attempts that could not connect to the
	// upstream.
	connectFailures int
	upstream        string
	retry           reason.Reason
	ran             reason.Ran
	accepted        time.Time
	attemptStarted  time.Time
	deadline        time.Time
	move            move
	// seq is the request's position in the order of acceptance.
	seq uint64
	// wakeAt is when the request's timer fires; heapIndex is its index in
	// Core.timers, or notInHeap.
	wakeAt    time.Time
	heapIndex int
	// element, flow and queue locate the request in the queue; element is nil
	// if the request is not queued.
	element *list.Element
	flow    *flow
	queue   *serviceQueue
	// granted is the retry that was taken when the running attempt was given up for its silence,
	// or nil.
	granted *retry.Verdict
	// timedOut is set when the deadline passes, or the entry stops, while an
	// attempt or a claim is pending.
	timedOut bool
}

// New returns a core with an empty catalog.
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

// Table returns the upstream table. The caller must not modify it.
func (c *Core) Table() *route.Table { return c.table }

// Step processes one event and returns the resulting actions.
func (c *Core) Step(now time.Time, ev Event) []Action {
	var out []Action
	c.lastStep = now
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
		c.usage.setPeer(ev.Peer, ev.InFlight)
	case RequestEvent:
		out = c.handleRequest(now, ev)
	case ClaimEvent:
		out = c.handleClaim(now, ev)
	case AttemptEvent:
		out = c.handleAttempt(now, ev)
	case SilenceEvent:
		out = c.handleSilence(now, ev)
	case CrashEvent:
		out = c.handleCrash(now, ev.Crash)
	case LoadEvent:
		c.table.Report(ev.Upstream, ev.Load)
	case CacheEvent:
		c.table.ReportCache(ev.Upstream, ev.Report)
	case LeavingEvent:
		c.table.SetLeaving(ev.Upstream, ev.Leaving)
	case DrainEvent:
		c.draining = true
	case AdoptEvent:
		out = c.handleAdopt(now, ev)
	case ReleaseEvent:
		c.handleRelease(now, ev)
	case ReclaimEvent:
		out = c.handleReclaim(now, ev)
	case MovedEvent:
		out = c.handleMoved(ev)
	case StopEvent:
		out = c.handleStop(now)
	case TickEvent:
		out = c.handleTick(now)
	default:
		panic(fmt.Sprintf("decision: unknown event %T", ev))
	}
	return append(out, c.dispatch(now)...)
}

// NextWake returns the latest time of the next TickEvent. It returns false if
// no timer is set.
func (c *Core) NextWake() (time.Time, bool) {
	if len(c.timers) == 0 {
		return time.Time{}, false
	}
	next := c.timers[0].wakeAt
	if recheck := c.lastStep.Add(queueRecheck); c.queue.size > 0 && recheck.Before(next) {
		next = recheck
	}
	return next, true
}

// handleRequest resolves the service and customer of a new request, and admits
// or refuses it.
func (c *Core) handleRequest(now time.Time, ev RequestEvent) []Action {
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

// enqueue adds a request to the queue. Its timer fires at the deadline. For a
// request that has not had an attempt it fires earlier, when even the fastest
// recent answer would miss the deadline.
func (c *Core) enqueue(r *request) {
	c.updateSuspect(r)
	c.queue.push(r)
	due := r.deadline
	if r.attempts == 0 {
		due = due.Add(-c.usage.serviceTimeOf(r.res.Service.Name).fastest)
	}
	c.timers.set(r, due)
}

func (c *Core) accept(now time.Time, ev RequestEvent, res api.Resolution) *request {
	r := &request{
		id:       ev.ID,
		key:      ev.Key,
		res:      res,
		ran:      reason.RanNo,
		accepted: now,
		deadline: now.Add(res.Timeout),
		seq:      c.nextSeq,

		fingerprint: ev.Fingerprint,
		heapIndex:   notInHeap,
	}
	c.nextSeq++
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
	c.timers.set(r, r.deadline)
	c.observeAccept(now, r)
	return r
}

// handleClaim continues or refuses a request after its idempotency key was
// claimed.
func (c *Core) handleClaim(now time.Time, ev ClaimEvent) []Action {
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
		// This request did not run, but the request that holds the key may
		// have.
		r.ran = reason.RanUnknown
		return c.refuse(now, r, reason.KeyInProgress)
	case ClaimMismatch:
		return c.refuse(now, r, reason.KeyReused)
	case ClaimLost:
		r.ran = reason.RanUnknown
		return c.refuse(now, r, reason.OutcomeUnknown)
	case ClaimTooLarge:
		r.ran = reason.RanYes
		return c.refuse(now, r, reason.OutcomeNotKept)
	default:
		return c.refuse(now, r, reason.ClaimUnavailable)
	}
}

// dispatch starts an attempt for each queued request that an upstream can take.
func (c *Core) dispatch(now time.Time) []Action {
	var out []Action
	c.queue.offerAll(func(r *request) bool {
		if !now.Before(r.deadline) {
			return false // a TickEvent is due and refuses it
		}
		u := c.pickUpstream(now, r)
		if u == nil {
			return false
		}
		out = append(out, c.startAttempt(now, r, u))
		return true
	})
	return out
}

func (c *Core) startAttempt(now time.Time, r *request, u *route.Upstream) Action {
	c.observeRoute(now, r, u.Name)
	r.phase = phaseRunning
	r.attempts++
	r.granted = nil
	r.attemptStarted = now
	r.upstream = u.Name
	c.timers.set(r, r.deadline)
	c.table.Started(u.Name, r.route.Prefix)
	c.table.NotifyStarted(now, &r.route, u)
	c.countSuspect(r, u.Name, 1)
	if r.attempts == 1 {
		retry.FirstAttempt(c.cfg.Rules)
	}
	a := DispatchAction{ID: r.id, Attempt: r.attempts, Upstream: u.Name, Spec: u.Spec, Retry: r.retry}
	if r.res.Idempotent {
		a.Limits = retry.LimitsOf(c.cfg.Rules, r.res.Class)
	}
	return a
}

// handleAttempt finishes a request, or decides whether it is attempted again.
func (c *Core) handleAttempt(now time.Time, ev AttemptEvent) []Action {
	r := c.requests[ev.ID]
	if r == nil || r.phase != phaseRunning || r.attempts != ev.Attempt {
		return nil
	}
	c.table.Ended(now, ev.Upstream, countsAsUpstreamFailure(ev.Outcome))
	c.countSuspect(r, ev.Upstream, -1)
	r.ran = r.ran.Join(ev.Ran)
	if ev.Outcome == OutcomeDone {
		c.usage.observeServiceTime(r, now)
		c.remove(r)
		return []Action{FinishAction{ID: r.id}}
	}
	if c.requeueForMove(now, r, ev) {
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
	out := c.reportCrash(now, r, ev)
	if c.poison.Poisoned(now, r.fingerprint) {
		return append(out, c.refuse(now, r, reason.Poison)...)
	}
	return append(out, c.retryOrRefuse(now, r, ev)...)
}

// handleTick ends requests whose deadline has passed or can no longer be met,
// and queues those whose backoff is over.
func (c *Core) handleTick(now time.Time) []Action {
	var out []Action
	for len(c.timers) > 0 && !now.Before(c.timers[0].wakeAt) {
		r := c.timers[0]
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
	c.timers.drop(r)
	switch {
	case r.phase == phaseRunning:
		r.timedOut = true
		return []Action{CancelAction{ID: r.id}}
	case r.phase == phaseClaim:
		// The ClaimEvent is still outstanding and ends the request.
		r.timedOut = true
		return nil
	case r.attempts == 0 && now.Before(r.deadline):
		return c.refuse(now, r, reason.DeadlineUnmet)
	case r.attempts == 0:
		return c.refuse(now, r, reason.NoUpstream)
	}
	return c.refuse(now, r, reason.TimedOut)
}

// refuse removes a request and returns its final action.
func (c *Core) refuse(_ time.Time, r *request, why reason.Reason) []Action {
	c.remove(r)
	after := refusalRetryAfter(why, c.admissionRequest(&r.res))
	return []Action{RefuseAction{ID: r.id, Reason: why, Ran: r.ran, RetryAfter: after}}
}

func (c *Core) remove(r *request) {
	c.queue.remove(r)
	c.timers.drop(r)
	c.usage.drop(r)
	delete(c.requests, r.id)
}
