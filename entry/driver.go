package entry

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/poison"
	"jaylink/operator"
	"jaylink/trace"
	"jaylink/upstream"
)

// driver runs the decision core. It passes events to the core one at a time and
// executes the actions that the core returns.
type driver struct {
	mu    sync.Mutex
	core  *decision.Core
	timer *time.Timer

	records *registry
	metrics *counters
	// decisions stores what was decided, to explain it to operators.
	decisions *decisionLog
	usage     *usageCounts
	log       *slog.Logger
	// dispatch and claim start the work of an action in the background and
	// return at once.
	dispatch    func(rec *Record, a decision.DispatchAction)
	claim       func(rec *Record)
	endClaim    func(rec *Record, p *Problem)
	reportCrash func(poison.Crash)
	moveStream  func(rec *Record, a decision.MoveAction)
	// trace records the events that the core receives and the actions it
	// returns; nil if no trace is recorded.
	trace *trace.Recorder
}

// step passes one event to the core and executes the resulting actions in
// order, all under the lock. No action blocks.
func (d *driver) step(ev decision.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	actions := d.core.Step(now, ev)
	if d.trace != nil {
		d.trace.Record(now, ev, actions)
	}
	for _, a := range actions {
		d.execute(now, a)
	}
	d.scheduleTick(now)
}

// inFlightByCustomer returns the number of accepted requests of each customer,
// without urgent ones.
func (d *driver) inFlightByCustomer() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Usage()
}

// scheduleTick sets the timer for the next tick that the core asks for.
func (d *driver) scheduleTick(now time.Time) {
	next, ok := d.core.NextWake()
	if !ok {
		return
	}
	wait := max(next.Sub(now), time.Millisecond)
	if d.timer == nil {
		d.timer = time.AfterFunc(wait, func() { d.step(decision.TickEvent{}) })
		return
	}
	d.timer.Reset(wait)
}

// stop stops the timer for ticks.
func (d *driver) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
}

func (d *driver) execute(now time.Time, a decision.Action) {
	switch a := a.(type) {
	case decision.AcceptAction:
		d.markAccepted(a)
	case decision.ClaimAction:
		d.claim(d.records.get(a.ID))
	case decision.DispatchAction:
		d.startAttempt(a)
	case decision.CancelAction:
		d.cancelAttempt(a.ID)
	case decision.GiveUpAction:
		d.giveUpAttempt(a)
	case decision.CrashAction:
		d.reportCrash(a.Crash)
	case decision.MoveAction:
		d.moveStream(d.records.get(a.ID), a)
	case decision.FinishAction:
		d.finish(now, a.ID, nil)
	case decision.ReplayAction:
		d.finish(now, a.ID, nil)
	case decision.RefuseAction:
		d.finish(now, a.ID, newProblem(a))
	}
}

func (d *driver) markAccepted(a decision.AcceptAction) {
	rec := d.records.get(a.ID)
	rec.update(func() {
		rec.accepted = true
		if a.Resolution.Protocol != api.ProtocolCompletions {
			rec.Call.Completion = nil
		}
		rec.idempotent = a.Resolution.Idempotent
		rec.deadline = a.Deadline
		rec.service = a.Resolution.Service.Name
		rec.customer = a.Resolution.Customer.Name
	})
	d.metrics.accepted.Inc(1)
	d.usage.addAccepted(rec.customer, rec.service)
	d.log.Info("request accepted", "request_id", a.ID, "service", rec.service,
		"customer", rec.customer, "idempotent", a.Resolution.Idempotent, "class", a.Resolution.Class)
}

func (d *driver) startAttempt(a decision.DispatchAction) {
	if a.Retry != "" {
		d.metrics.countRetry(a.Retry)
		d.log.Info("request retried", "request_id", a.ID, "upstream", a.Upstream, "reason", a.Retry)
	}
	d.dispatch(d.records.get(a.ID), a)
}

func (d *driver) cancelAttempt(id string) {
	rec := d.records.get(id)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.attempt.cancel != nil {
		rec.attempt.cancel()
	}
}

// upstreamSilent reports to the core that the upstream of an attempt is silent, and whether the
// attempt is given up.
func (d *driver) upstreamSilent(rec *Record, a decision.DispatchAction) bool {
	v, _ := rec.read(0)
	d.step(decision.SilenceEvent{
		ID: rec.ID, Attempt: a.Attempt, Relayed: v.total, Resumable: rec.Call.Completion != nil, Jitter: rand.Float64(),
	})
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.attempt.givenUp && !rec.attempt.silent {
		rec.attempt.silent = true
		d.log.Info("upstream silent, no alternative", "request_id", rec.ID, "upstream", a.Upstream, "attempt", a.Attempt)
	}
	return rec.attempt.givenUp
}

// giveUpAttempt marks an attempt as one that its watchdog is to end.
func (d *driver) giveUpAttempt(a decision.GiveUpAction) {
	rec := d.records.get(a.ID)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.attempt.id.number == a.Attempt {
		rec.attempt.givenUp = true
	}
}

// finish gives the record its final answer and settles its claim.
func (d *driver) finish(now time.Time, id string, p *Problem) {
	rec := d.records.get(id)
	// Metrics and decisions are recorded before the caller gets the answer.
	v, _ := rec.read(0)
	d.countUsage(v, p)
	if p != nil {
		d.recordRefusal(now, rec, v, p)
	} else {
		d.recordAnswer(now, rec, v)
	}
	rec.finish(now, p)
	d.endClaim(rec, p)
	d.records.markEnded(rec)
}

func (d *driver) recordRefusal(now time.Time, rec *Record, v view, p *Problem) {
	d.metrics.countRefusal(p.Reason)
	d.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionRefused, RequestID: rec.ID, Service: v.service, Customer: v.customer,
		Reason: p.Reason, Ran: p.Ran, Detail: fmt.Sprintf("retry_after=%s took=%s", p.RetryAfter, now.Sub(rec.started)),
	})
	d.log.Info("request refused", "request_id", rec.ID, "service", v.service, "customer", v.customer,
		"reason", p.Reason, "ran", p.Ran)
}

func (d *driver) recordAnswer(now time.Time, rec *Record, v view) {
	d.metrics.answered.Inc(1)
	d.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionAnswered, RequestID: rec.ID, Service: v.service, Customer: v.customer,
		Detail: fmt.Sprintf("took=%s tokens=%d", now.Sub(rec.started), v.tokens),
	})
	d.log.Info("request answered", "request_id", rec.ID, "service", v.service, "customer", v.customer,
		"took", now.Sub(rec.started), "tokens", v.tokens)
}

// countUsage counts the end of a request if it was accepted.
func (d *driver) countUsage(v view, p *Problem) {
	switch {
	case !v.accepted:
	case p != nil:
		d.usage.addEnded(v.customer, v.service, v.tokens, p.Reason)
	default:
		d.usage.addEnded(v.customer, v.service, v.tokens, "")
	}
}

// attemptEnded reports the end of an attempt to the core.
func (d *driver) attemptEnded(rec *Record, a decision.DispatchAction, res upstream.Result, end attemptEnd) {
	o, ran := res.Outcome, res.Ran
	v, _ := rec.read(0)
	if o != decision.OutcomeDone {
		d.decisions.add(operator.Decision{
			Kind: operator.DecisionFailed, RequestID: rec.ID, Service: v.service, Customer: v.customer,
			Upstream: a.Upstream, Attempt: a.Attempt, Ran: ran, Detail: fmt.Sprintf("outcome=%s relayed_bytes=%d", o, v.total),
		})
	}
	d.step(decision.AttemptEvent{
		ID:        rec.ID,
		Attempt:   a.Attempt,
		Upstream:  a.Upstream,
		Outcome:   o,
		Ran:       ran,
		Crashed:   end.upstreamCrashed,
		BrokeAt:   end.brokeAt,
		Relayed:   v.total,
		Resumable: rec.Call.Completion != nil,
		Jitter:    rand.Float64(),
	})
}
