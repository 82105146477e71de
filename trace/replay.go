package trace

import (
	"container/heap"
	"fmt"
	"time"

	"jaylink/decision"
	"jaylink/decision/reason"
)

// Result contains the counts, the cost and the differences that a replay yields.
type Result struct {
	// Requests counts the requests that arrived at the entry or that it took over
	// from another one.
	Requests int
	// Answered counts the requests that got a new or a stored answer.
	Answered int
	// Dispatches counts the attempts.
	Dispatches int
	// Refused counts the refused requests by reason.
	Refused map[reason.Reason]int
	// Cost is the price of the upstreams' slots (capacities for one concurrent
	// request) for the time that the attempts used them, in the billing currency.
	Cost float64
	// UrgentWait is the longest time from the arrival of a request of the class
	// "urgent" to its first dispatch.
	UrgentWait time.Duration
	// Differences are the differences between the recorded actions and those
	// of the replayed core; only Repeat sets it.
	Differences []string
}

// maxDifferences is the maximum length of Result.Differences.
const maxDifferences = 20

// Repeat passes exactly the recorded events to a core. Unchanged code returns the
// recorded actions; a difference means that the decisions have changed.
func Repeat(t *Trace, cfg decision.Config) *Result {
	r := newReplay(t, cfg)
	for i, ev := range t.Events {
		actions := r.step(ev.At, ev.Event)
		r.compare(i, ev.Actions, actions)
	}
	return r.result
}

// Resimulate passes the recorded external events, such as requests, load, leaving
// upstreams and configuration, to a core and simulates the results of its actions: an
// attempt takes as long as the recorded attempt of the request, and has the recorded
// result if it is on the same upstream. Therefore decisions that differ from the
// recorded ones can be replayed as well.
func Resimulate(t *Trace, cfg decision.Config) *Result {
	r := newReplay(t, cfg)
	r.collectAttempts(t)
	for _, ev := range t.Events {
		switch ev.Event.(type) {
		case decision.AttemptEvent, decision.ClaimEvent, decision.MovedEvent, decision.TickEvent:
			continue
		}
		r.runUntil(ev.At)
		r.scheduleResults(ev.At, r.step(ev.At, ev.Event))
	}
	r.runUntil(1<<63 - 1)
	return r.result
}

// replay is the state of a replay with one core.
type replay struct {
	core     *decision.Core
	start    time.Time
	result   *Result
	requests map[string]*replayedRequest
	// attempts contains the recorded attempts by request ID, and meanDuration
	// is the mean duration of all of them.
	attempts     map[string][]recordedAttempt
	meanDuration time.Duration
	queue        eventQueue
	seq          int // the sequence number of the last scheduled event
}

// replayedRequest is the state of a replayed request.
type replayedRequest struct {
	arrived      time.Duration
	urgent       bool
	attemptStart time.Duration
	price        float64 // of a slot, per hour
	running      bool
	attempt      int
}

// recordedAttempt is an attempt in the trace with its result.
type recordedAttempt struct {
	upstream string
	duration time.Duration
	event    decision.AttemptEvent
}

func newReplay(t *Trace, cfg decision.Config) *replay {
	return &replay{
		core: decision.New(cfg), start: t.Header.Start, requests: map[string]*replayedRequest{}, attempts: map[string][]recordedAttempt{},
		result: &Result{Refused: map[reason.Reason]int{}},
	}
}

func (r *replay) step(at time.Duration, ev decision.Event) []decision.Action {
	switch ev := ev.(type) {
	case decision.RequestEvent:
		r.result.Requests++
		r.requests[ev.ID] = &replayedRequest{arrived: at}
	case decision.AdoptEvent:
		r.result.Requests++
		r.requests[ev.ID] = &replayedRequest{arrived: at}
	case decision.AttemptEvent:
		r.endAttempt(at, ev)
	}
	actions := r.core.Step(r.start.Add(at), ev)
	for _, a := range actions {
		r.countAction(at, a)
	}
	return actions
}

// endAttempt adds the cost of an attempt that was running.
func (r *replay) endAttempt(at time.Duration, ev decision.AttemptEvent) {
	s := r.requests[ev.ID]
	if s == nil || !s.running || s.attempt != ev.Attempt {
		return
	}
	s.running = false
	r.result.Cost += (at - s.attemptStart).Hours() * s.price
}

// countAction updates the result and the state of the request of an action.
func (r *replay) countAction(at time.Duration, a decision.Action) {
	switch a := a.(type) {
	case decision.AcceptAction:
		r.requests[a.ID].urgent = a.Resolution.Class == "urgent"
	case decision.FinishAction, decision.ReplayAction:
		r.result.Answered++
	case decision.RefuseAction:
		r.result.Refused[a.Reason]++
	case decision.DispatchAction:
		r.result.Dispatches++
		s := r.requests[a.ID]
		u := r.core.Table().Get(a.Upstream)
		s.running, s.attemptStart, s.attempt = true, at, a.Attempt
		s.price = a.Spec.PricePerHour / float64(u.Slots())
		if s.urgent && a.Attempt == 1 {
			r.result.UrgentWait = max(r.result.UrgentWait, at-s.arrived)
		}
	}
}

// compare appends the differences between the recorded and the returned actions of an
// event to the result.
func (r *replay) compare(event int, want []string, got []decision.Action) {
	for i := range max(len(want), len(got)) {
		recorded, returned := "nothing", "nothing"
		if i < len(want) {
			recorded = want[i]
		}
		if i < len(got) {
			returned = Describe(got[i])
		}
		if recorded != returned && len(r.result.Differences) < maxDifferences {
			r.result.Differences = append(r.result.Differences,
				fmt.Sprintf("event %d: recorded %q, returned %q", event+1, recorded, returned))
		}
	}
}

// collectAttempts extracts the recorded attempts and their durations from the trace.
func (r *replay) collectAttempts(t *Trace) {
	started := map[string]time.Duration{}
	var sum time.Duration
	n := 0
	for _, ev := range t.Events {
		for _, a := range ev.Actions {
			var id, upstream string
			var number int
			if _, err := fmt.Sscanf(a, "dispatch %s %d %s", &id, &number, &upstream); err == nil {
				started[id] = ev.At
			}
		}
		if e, ok := ev.Event.(decision.AttemptEvent); ok {
			took := ev.At - started[e.ID]
			r.attempts[e.ID] = append(r.attempts[e.ID], recordedAttempt{upstream: e.Upstream, duration: took, event: e})
			sum += took
			n++
		}
	}
	r.meanDuration = sum / time.Duration(max(n, 1))
}

// scheduleResults schedules the events that result from the actions of the core, and
// the next tick.
func (r *replay) scheduleResults(at time.Duration, actions []decision.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case decision.ClaimAction:
			r.push(at, decision.ClaimEvent{ID: a.ID, Result: decision.ClaimWon})
		case decision.MoveAction:
			r.push(at+a.After, decision.MovedEvent{ID: a.ID, Attempt: a.Attempt})
		case decision.CancelAction:
			s := r.requests[a.ID]
			r.push(at, decision.AttemptEvent{ID: a.ID, Attempt: s.attempt, Outcome: decision.OutcomeCanceled, Ran: reason.RanUnknown})
		case decision.DispatchAction:
			took, ev := r.attemptResult(a)
			r.push(at+took, ev)
		}
	}
	if next, ok := r.core.NextWake(); ok {
		r.push(max(next.Sub(r.start), at+time.Millisecond), decision.TickEvent{})
	}
}

// attemptResult returns the duration and the result of a dispatch. If the request has a
// recorded attempt with this number on the same upstream, they are those of this
// attempt. Otherwise the attempt succeeds, after the duration of the last recorded
// attempt of the request or, if it has none, the mean duration.
func (r *replay) attemptResult(a decision.DispatchAction) (time.Duration, decision.AttemptEvent) {
	done := decision.AttemptEvent{ID: a.ID, Attempt: a.Attempt, Upstream: a.Upstream, Outcome: decision.OutcomeDone, Ran: reason.RanYes}
	list := r.attempts[a.ID]
	if len(list) == 0 {
		return r.meanDuration, done
	}
	if a.Attempt <= len(list) && list[a.Attempt-1].upstream == a.Upstream {
		recorded := list[a.Attempt-1]
		return recorded.duration, recorded.event
	}
	return list[len(list)-1].duration, done
}

// push schedules an event. It drops a tick if one at or before its time is already
// scheduled.
func (r *replay) push(at time.Duration, ev decision.Event) {
	if _, tick := ev.(decision.TickEvent); tick && r.queue.hasTickBy(at) {
		return
	}
	r.seq++
	heap.Push(&r.queue, scheduledEvent{at: at, seq: r.seq, event: ev})
}

// runUntil processes the scheduled events before the given time.
func (r *replay) runUntil(at time.Duration) {
	for len(r.queue) > 0 && r.queue[0].at < at {
		next := heap.Pop(&r.queue).(scheduledEvent)
		r.scheduleResults(next.at, r.step(next.at, next.event))
	}
}
