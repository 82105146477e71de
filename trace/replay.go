package trace

import (
	"container/heap"
	"fmt"
	"time"

	"jaylink/decision"
	"jaylink/decision/reason"
)

// Result is what a replay found.
type Result struct {
	Requests   int
	Answered   int
	Dispatches int
	Refused    map[reason.Reason]int
	// Cost is the price of the slots that attempts held, in the bill's currency.
	Cost float64
	// UrgentWait is the longest time from the arrival of an urgent request to
	// its first dispatch.
	UrgentWait time.Duration
	// Differences are the recorded actions that the replayed core did not
	// return, or returned otherwise; filled by Repeat only.
	Differences []string
}

// maxDifferences bounds the list of differences.
const maxDifferences = 20

// Repeat gives a core exactly the recorded events. The same code returns the
// recorded actions; a difference is a change of the decisions.
func Repeat(t *Trace, cfg decision.Config) *Result {
	r := newReplay(t, cfg)
	for i, ev := range t.Events {
		actions := r.step(ev.At, ev.Event)
		r.compare(i, ev.Actions, actions)
	}
	return r.result
}

// Resimulate gives a core the recorded events that come from outside, requests,
// load, leaving and configuration, and answers its dispatches itself: an attempt
// takes as long as the recorded attempt of the request did, and fails in the same
// way if it is on the same upstream. So decisions that are not the recorded ones
// are replayed as well.
func Resimulate(t *Trace, cfg decision.Config) *Result {
	r := newReplay(t, cfg)
	r.learn(t)
	for _, ev := range t.Events {
		switch ev.Event.(type) {
		case decision.AttemptEvent, decision.ClaimEvent, decision.MovedEvent, decision.TickEvent:
			continue
		}
		r.runUntil(ev.At)
		r.follow(ev.At, r.step(ev.At, ev.Event))
	}
	r.runUntil(1<<63 - 1)
	return r.result
}

// replay drives one core.
type replay struct {
	core   *decision.Core
	start  time.Time
	result *Result
	sent   map[string]*sent
	// recorded has the attempts of each request, and typical the mean time of
	// a service's attempts.
	recorded map[string][]attempt
	mean     time.Duration
	pending  pending
	number   int
}

// sent is what is known of a replayed request.
type sent struct {
	at      time.Duration
	urgent  bool
	started time.Duration
	price   float64 // of a slot, for an hour
	running bool
	attempt int
}

// attempt is a recorded attempt.
type attempt struct {
	upstream string
	took     time.Duration
	event    decision.AttemptEvent
}

func newReplay(t *Trace, cfg decision.Config) *replay {
	return &replay{
		core: decision.New(cfg), start: t.Header.Start, sent: map[string]*sent{}, recorded: map[string][]attempt{},
		result: &Result{Refused: map[reason.Reason]int{}},
	}
}

func (r *replay) step(at time.Duration, ev decision.Event) []decision.Action {
	switch ev := ev.(type) {
	case decision.RequestEvent:
		r.result.Requests++
		r.sent[ev.ID] = &sent{at: at}
	case decision.AdoptEvent:
		r.result.Requests++
		r.sent[ev.ID] = &sent{at: at}
	case decision.AttemptEvent:
		r.ended(at, ev)
	}
	actions := r.core.Step(r.start.Add(at), ev)
	for _, a := range actions {
		r.count(at, a)
	}
	return actions
}

func (r *replay) ended(at time.Duration, ev decision.AttemptEvent) {
	s := r.sent[ev.ID]
	if s == nil || !s.running || s.attempt != ev.Attempt {
		return
	}
	s.running = false
	r.result.Cost += (at - s.started).Hours() * s.price
}

func (r *replay) count(at time.Duration, a decision.Action) {
	switch a := a.(type) {
	case decision.AcceptAction:
		r.sent[a.ID].urgent = a.Resolution.Class == "urgent"
	case decision.FinishAction, decision.ReplayAction:
		r.result.Answered++
	case decision.RefuseAction:
		r.result.Refused[a.Reason]++
	case decision.DispatchAction:
		r.result.Dispatches++
		s := r.sent[a.ID]
		u := r.core.Table().Get(a.Upstream)
		s.running, s.started, s.attempt = true, at, a.Attempt
		s.price = a.Spec.PricePerHour / float64(u.Slots())
		if s.urgent && a.Attempt == 1 {
			r.result.UrgentWait = max(r.result.UrgentWait, at-s.at)
		}
	}
}

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

// learn collects the recorded attempts.
func (r *replay) learn(t *Trace) {
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
			r.recorded[e.ID] = append(r.recorded[e.ID], attempt{upstream: e.Upstream, took: took, event: e})
			sum += took
			n++
		}
	}
	r.mean = sum / time.Duration(max(n, 1))
}

// follow carries out the actions of the core.
func (r *replay) follow(at time.Duration, actions []decision.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case decision.ClaimAction:
			r.push(at, decision.ClaimEvent{ID: a.ID, Result: decision.ClaimWon})
		case decision.MoveAction:
			r.push(at+a.After, decision.MovedEvent{ID: a.ID, Attempt: a.Attempt})
		case decision.CancelAction:
			s := r.sent[a.ID]
			r.push(at, decision.AttemptEvent{ID: a.ID, Attempt: s.attempt, Outcome: decision.OutcomeCanceled, Ran: reason.RanUnknown})
		case decision.DispatchAction:
			took, ev := r.answer(a)
			r.push(at+took, ev)
		}
	}
	if next, ok := r.core.NextWake(); ok {
		r.push(max(next.Sub(r.start), at+time.Millisecond), decision.TickEvent{})
	}
}

// answer returns how a dispatch ends.
func (r *replay) answer(a decision.DispatchAction) (time.Duration, decision.AttemptEvent) {
	done := decision.AttemptEvent{ID: a.ID, Attempt: a.Attempt, Upstream: a.Upstream, Outcome: decision.OutcomeDone, Ran: reason.RanYes}
	list := r.recorded[a.ID]
	if len(list) == 0 {
		return r.mean, done
	}
	if a.Attempt <= len(list) && list[a.Attempt-1].upstream == a.Upstream {
		recorded := list[a.Attempt-1]
		return recorded.took, recorded.event
	}
	return list[len(list)-1].took, done
}

func (r *replay) push(at time.Duration, ev decision.Event) {
	if _, tick := ev.(decision.TickEvent); tick && r.pending.hasTickBefore(at) {
		return
	}
	r.number++
	heap.Push(&r.pending, due{at: at, number: r.number, event: ev})
}

// runUntil plays what is due before a time.
func (r *replay) runUntil(at time.Duration) {
	for len(r.pending) > 0 && r.pending[0].at < at {
		d := heap.Pop(&r.pending).(due)
		r.follow(d.at, r.step(d.at, d.event))
	}
}
