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

// dispatch starts an attempt in the background.
func (e *Entry) dispatch(rec *Record, a decision.DispatchAction) {
	ctx, cancel := context.WithCancel(e.background)
	ended := make(chan struct{})
	var id attemptID
	rec.update(func() {
		id = attemptID{epoch: rec.ownership.epoch, number: a.Attempt}
		rec.attempt = attempt{id: id, cancel: cancel, ended: ended, startedAt: time.Now()}
	})
	e.work.Go(func() {
		defer cancel()
		began := time.Now()
		res := e.runAttempt(ctx, rec, a, id)
		end := attemptEnd{brokeAt: time.Now()}
		end.upstreamCrashed = e.upstreamCrashed(ctx, a.Spec.Address, began, res)
		if res.Err != nil {
			e.log.Log(ctx, attemptLevel(res), "attempt failed", "request_id", rec.ID, "upstream", a.Upstream,
				"attempt", id.tag(rec.ID), "reason", res.Outcome, "ran", res.Ran, "err", res.Err)
		}
		close(ended)
		e.driver.attemptEnded(rec, a, res, end)
	})
}

// attemptEnd holds the time at which an attempt's connection ended and whether
// its upstream crashed.
type attemptEnd struct {
	brokeAt         time.Time
	upstreamCrashed bool
}

// attemptLevel returns the level at which a failed attempt is logged: a
// warning, unless this entry canceled the attempt itself.
func attemptLevel(res upstream.Result) slog.Level {
	if res.Outcome == decision.OutcomeCanceled {
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// tag returns the ID under which an upstream sees the attempt:
// REQUEST-ID/EPOCH.ATTEMPT.
func (id attemptID) tag(request string) string {
	return fmt.Sprintf("%s/%d.%d", request, id.epoch, id.number)
}

// runAttempt runs an attempt and returns its result.
func (e *Entry) runAttempt(ctx context.Context, rec *Record, a decision.DispatchAction, id attemptID) upstream.Result {
	if a.Spec.Protocol == api.ProtocolCompletions {
		return e.runCompletion(ctx, rec, a, id)
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

// setAnswer stores the upstream's response to a request that is not a
// completion.
func (r *Record) setAnswer(id attemptID, answer *upstream.Answer) {
	r.updateFromAttempt(id, func() { r.answer = answer })
}

// updateFromAttempt changes the record on behalf of an attempt. The change is
// dropped if the attempt is no longer the request's current one.
func (r *Record) updateFromAttempt(id attemptID, change func()) {
	r.update(func() {
		if r.acceptsFrom(id) {
			change()
		}
	})
}

// acceptsFrom reports whether an attempt is the request's current one and may
// still change the answer. The caller must hold r.mu.
func (r *Record) acceptsFrom(id attemptID) bool { return r.attempt.id == id && !r.done }

// runCompletion runs an attempt of a completion. It resumes after the text that
// earlier attempts generated.
func (e *Entry) runCompletion(ctx context.Context, rec *Record, a decision.DispatchAction, id attemptID) upstream.Result {
	if rec.Call.Completion == nil {
		err := oops.In("entry").With("step", "dispatch").Errorf("the service accepts only completions")
		return upstream.Result{Outcome: decision.OutcomeServerError, Ran: reason.RanNo, Err: err}
	}
	v, _ := rec.read(0)
	if v.tokens >= rec.Call.Completion.MaxTokens {
		// An earlier attempt generated the last token; only the end of
		// its response was lost.
		return upstream.Result{Outcome: decision.OutcomeDone, Ran: reason.RanYes}
	}
	call := upstream.CompletionCall{
		Address:    a.Spec.Address,
		RequestID:  id.tag(rec.ID),
		Completion: rec.Call.Completion.Resume(string(v.text), v.tokens),
		Idempotent: rec.idempotent,
		Emit:       func(text string, tokens int) error { return e.appendText(rec, id, text, tokens) },
	}
	if rec.idempotent {
		// Requests that are not idempotent can't be continued on
		// another upstream, so they are not subject to these timeouts.
		call.FirstToken = e.settings.Recovery.FirstToken.Std()
		call.Stall = e.settings.Recovery.Stall.Std()
		call.OnSilence = func() bool { return e.driver.upstreamSilent(rec, a) }
	}
	res := e.upstreams.Complete(ctx, call)
	if res.FinishReason != "" {
		rec.updateFromAttempt(id, func() { rec.finishReason = res.FinishReason })
	}
	return res
}

// appendText appends text from an attempt to the answer. It fails and drops the
// text if the attempt is no longer the request's current one, or if the answer
// would exceed limits.answer.
func (e *Entry) appendText(rec *Record, id attemptID, text string, tokens int) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !rec.acceptsFrom(id) {
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

// forwardHeader returns a copy of the headers without those that are meant for
// jaylink itself.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	return out
}
