package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/samber/oops"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/upstream"
)

// dispatch starts one attempt in the background.
func (e *Entry) dispatch(rec *Record, a decision.DispatchAction) {
	ctx, cancel := context.WithCancel(e.background)
	ended := make(chan struct{})
	var id attemptID
	rec.update(func() {
		id = attemptID{epoch: rec.ownership.epoch, number: a.Attempt}
		rec.attempt = attempt{id: id, cancel: cancel, ended: ended, began: time.Now()}
	})
	e.work.Go(func() {
		defer cancel()
		began := time.Now()
		res := e.attempt(ctx, rec, a, id)
		end := attemptEnd{at: time.Now()}
		end.crashed = e.crashed(ctx, a.Spec.Address, began, res)
		if res.Err != nil {
			e.log.Log(ctx, attemptLevel(res), "attempt failed", "request_id", rec.ID, "upstream", a.Upstream,
				"attempt", id.tag(rec.ID), "reason", res.Outcome, "ran", res.Ran, "err", res.Err)
		}
		close(ended)
		e.driver.attemptEnded(rec, a, res, end)
	})
}

// attemptEnd is when an attempt's connection ended and whether its upstream
// crashed.
type attemptEnd struct {
	at      time.Time
	crashed bool
}

// attemptLevel is the level at which a failed attempt is logged. One that this
// entry ended itself is no warning.
func attemptLevel(res upstream.Result) slog.Level {
	if res.Outcome == decision.OutcomeCanceled {
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// tag is what an upstream sees of an attempt: REQUEST-ID/EPOCH.ATTEMPT.
func (id attemptID) tag(request string) string {
	return fmt.Sprintf("%s/%d.%d", request, id.epoch, id.number)
}

// attempt runs one attempt to its end.
func (e *Entry) attempt(ctx context.Context, rec *Record, a decision.DispatchAction, id attemptID) upstream.Result {
	if a.Spec.Protocol == api.ProtocolCompletions {
		return e.complete(ctx, rec, a, id)
	}
	if a.Limits.Answer > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Limits.Answer)
		defer cancel()
	}
	answer, res := e.upstreams.Forward(ctx, upstream.ServiceCall{
		Address:    a.Spec.Address,
		RequestID:  id.tag(rec.ID),
		Method:     rec.Call.Method,
		URI:        rec.Call.URI,
		Header:     forwardHeader(rec.Call.Header),
		Body:       rec.Call.Body,
		Idempotent: rec.idempotent,
		MaxAnswer:  int64(e.settings.Limits.Answer),
	})
	if answer != nil {
		rec.setAnswer(id, answer)
	}
	return res
}

// setAnswer stores the answer of a plain service.
func (r *Record) setAnswer(id attemptID, answer *upstream.Answer) {
	r.updateFrom(id, func() { r.answer = answer })
}

// updateFrom changes the record for an attempt. What comes from an attempt that
// is no longer the request's current one is dropped.
func (r *Record) updateFrom(id attemptID, change func()) {
	r.update(func() {
		if r.takesFrom(id) {
			change()
		}
	})
}

// takesFrom reports whether an attempt is the request's current one and may
// still add to the answer; the caller holds the lock.
func (r *Record) takesFrom(id attemptID) bool { return r.attempt.id == id && !r.done }

// complete continues the answer of a completion from what is there.
func (e *Entry) complete(ctx context.Context, rec *Record, a decision.DispatchAction, id attemptID) upstream.Result {
	if rec.Call.Completion == nil {
		err := oops.In("entry").With("step", "dispatch").Errorf("the service takes completions only")
		return upstream.Result{Outcome: decision.OutcomeServerError, Ran: reason.RanNo, Err: err}
	}
	v, _ := rec.read(0)
	if v.tokens >= rec.Call.Completion.MaxTokens {
		// An earlier attempt gave the last token; only its end was lost.
		return upstream.Result{Outcome: decision.OutcomeDone, Ran: reason.RanYes}
	}
	call := upstream.CompletionCall{
		Address:    a.Spec.Address,
		RequestID:  id.tag(rec.ID),
		Completion: rec.Call.Completion.Resume(string(v.text), v.tokens),
		Idempotent: rec.idempotent,
		Emit:       func(text string, tokens int) error { return e.emit(rec, id, text, tokens) },
	}
	if rec.idempotent {
		// Other work can't go on elsewhere, so it gets all of its time.
		call.FirstToken = e.settings.Recovery.FirstToken.Std()
		call.Stall = e.settings.Recovery.Stall.Std()
	}
	res := e.upstreams.Complete(ctx, call)
	if res.FinishReason != "" {
		rec.updateFrom(id, func() { rec.finishReason = res.FinishReason })
	}
	return res
}

// emit adds text to the answer. Text of an attempt that is no longer the
// request's current one is dropped.
func (e *Entry) emit(rec *Record, id attemptID, text string, tokens int) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.takesFrom(id) {
		return oops.In("entry").With("step", "emit").Errorf("attempt %d.%d is no longer current", id.epoch, id.number)
	}
	if len(rec.text)+len(text) > int(e.settings.Limits.Answer) {
		return oops.In("entry").With("step", "emit").Errorf("answer is larger than %s", e.settings.Limits.Answer)
	}
	rec.text = append(rec.text, text...)
	rec.tokens += tokens
	rec.attempt.tokens += tokens
	rec.notify()
	return nil
}

// forwardHeader leaves out the headers that are for jaylink itself.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	return out
}
