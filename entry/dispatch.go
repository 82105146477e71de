package entry

import (
	"context"
	"fmt"
	"net/http"

	"github.com/samber/oops"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/upstream"
)

// dispatch starts one attempt in the background.
func (e *Entry) dispatch(rec *Record, a decision.DispatchAction) {
	ctx, cancel := context.WithCancel(e.background)
	rec.update(func() {
		rec.attempt = a.Attempt
		rec.cancel = cancel
	})
	e.work.Go(func() {
		defer cancel()
		dog := watch(cancel, a.Limits)
		res := dog.stop(e.attempt(ctx, rec, a, dog))
		if res.Err != nil {
			e.log.Warn("attempt failed", "request_id", rec.ID, "upstream", a.Upstream,
				"attempt", a.Attempt, "reason", res.Outcome, "ran", res.Ran, "err", res.Err)
		}
		e.driver.attemptEnded(rec, a, res.Outcome, res.Ran)
	})
}

// attempt runs one attempt to its end.
func (e *Entry) attempt(ctx context.Context, rec *Record, a decision.DispatchAction, dog *watchdog) upstream.Result {
	tag := fmt.Sprintf("%s/%d", rec.ID, a.Attempt)
	if a.Spec.Protocol == api.ProtocolCompletions {
		return e.complete(ctx, rec, a, tag, dog)
	}
	answer, res := e.upstreams.Forward(ctx, upstream.ServiceCall{
		Address:    a.Spec.Address,
		RequestID:  tag,
		Method:     rec.Call.Method,
		URI:        rec.Call.URI,
		Header:     forwardHeader(rec.Call.Header),
		Body:       rec.Call.Body,
		Idempotent: rec.idempotent,
		MaxAnswer:  int64(e.settings.Limits.Answer),
	})
	if answer != nil {
		rec.update(func() { rec.answer = answer })
	}
	return res
}

// complete continues the answer of a completion from what is there.
func (e *Entry) complete(ctx context.Context, rec *Record, a decision.DispatchAction, tag string, dog *watchdog) upstream.Result {
	if rec.Call.Completion == nil {
		err := oops.In("entry").With("step", "dispatch").Errorf("the service takes completions only")
		return upstream.Result{Outcome: decision.OutcomeServerError, Ran: reason.RanNo, Err: err}
	}
	v, _ := rec.read(0)
	return e.upstreams.Complete(ctx, upstream.CompletionCall{
		Address:    a.Spec.Address,
		RequestID:  tag,
		Completion: rec.Call.Completion.Resume(string(v.text), v.tokens),
		Idempotent: rec.idempotent,
		Emit: func(text string, tokens int) error {
			dog.advanced()
			return e.emit(rec, a.Attempt, text, tokens)
		},
	})
}

// emit adds text to the answer. Text of an attempt that is no longer the
// request's current one is dropped.
func (e *Entry) emit(rec *Record, attempt int, text string, tokens int) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.attempt != attempt || rec.done {
		return oops.In("entry").With("step", "emit").Errorf("attempt %d is no longer current", attempt)
	}
	if len(rec.text)+len(text) > int(e.settings.Limits.Answer) {
		return oops.In("entry").With("step", "emit").Errorf("answer is larger than %s", e.settings.Limits.Answer)
	}
	rec.text = append(rec.text, text...)
	rec.tokens += tokens
	rec.notify()
	return nil
}

// forwardHeader leaves out the headers that are for jaylink itself.
func forwardHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Authorization")
	return out
}
