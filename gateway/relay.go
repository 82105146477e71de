package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/reason"
	"jaylink/platform"
	"jaylink/upstream/exchange"
)

// maxBufferedAnswer is how many bytes of an answer's body are buffered. The rest of a
// longer answer is relayed as it arrives.
const maxBufferedAnswer = 1 << 20

// maxAnswerBytes limits the body of an answer that is not a stream, in bytes. Without
// it an endless answer would load the entry's link until the caller's deadline.
const maxAnswerBytes = 64 << 20

// bufferedAnswer is a complete answer of an upstream.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// statusOr returns the answer's status, or other if there is no answer.
func (b *bufferedAnswer) statusOr(other int) int {
	if b == nil {
		return other
	}
	return b.status
}

func (b *bufferedAnswer) write(w http.ResponseWriter) error {
	maps.Copy(w.Header(), b.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	_, err := w.Write(b.body)
	return err
}

// relayBuffered reads a whole answer before it sends any of it to the caller, so that
// the request can be retried if the connection breaks.
func (g *Gateway) relayBuffered(ctx context.Context, r *request, t *placement.Ticket, answer *exchange.Answer, head platform.UpstreamHeaders) (attemptResult, *bufferedAnswer) {
	g.markStarted(r, t)
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedAnswer))
	if err == nil && len(body) == maxBufferedAnswer && !promisesNotRun(answer.Status) {
		return g.relayUnbuffered(ctx, r, t, answer, body), nil
	}
	if err == nil {
		err = g.checkEnd(ctx, r, answer)
	}
	switch {
	case ctx.Err() != nil:
		g.endAttempt(t, placement.Abandoned)
		return callerGone, nil
	case err != nil:
		return g.handleBrokenAnswer(r, t, err), nil
	case answer.Status < 300 && !hasSealAndNoEncoding(answer, head):
		return g.handleBrokenAnswer(r, t, errors.New("answer has no seal or is content-encoded")), nil
	}
	buffered := &bufferedAnswer{answer.Status, platform.CallerAnswer(answer.Header), body}
	if promisesNotRun(answer.Status) {
		buffered = nil
	}
	if buffered == nil || answer.Status >= http.StatusInternalServerError {
		g.endAttempt(t, placement.Failed)
		r.progress.reason = reason.UpstreamError
		r.progress.detail = strconv.Itoa(answer.Status)
		g.logFailedAttempt(r, "upstream failed")
		return serverError, buffered
	}
	g.recordAnswer(r, t, answer.Status < http.StatusMultipleChoices)
	g.writeAnswer(r, buffered)
	return delivered, buffered
}

// promisesNotRun reports whether a status tells callers that the request has not run. An
// upstream's answer with such a status that does not state so is not relayed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// hasSealAndNoEncoding reports whether an answer has a seal header and its body is not
// content-encoded, so that callers can check the seal against the upstream's own bytes.
// The seal is not verified here.
func hasSealAndNoEncoding(answer *exchange.Answer, head platform.UpstreamHeaders) bool {
	return head.Sealed && answer.Header.Get("Content-Encoding") == ""
}

// relayUnbuffered relays an answer that is too long to buffer; read is what has been
// read of its body.
func (g *Gateway) relayUnbuffered(ctx context.Context, r *request, t *placement.Ticket, answer *exchange.Answer, read []byte) attemptResult {
	r.progress.headSent, r.progress.partial = true, true
	maps.Copy(r.w.Header(), platform.CallerAnswer(answer.Header))
	r.w.WriteHeader(answer.Status)
	n, err := io.Copy(r.w, io.MultiReader(bytes.NewReader(read), io.LimitReader(answer, maxAnswerBytes)))
	switch {
	case err == nil && n > maxAnswerBytes:
		err = exchange.ErrTooLong
	case err == nil:
		err = g.checkEnd(ctx, r, answer)
	}
	if err != nil {
		if ctx.Err() != nil {
			g.endAttempt(t, placement.Abandoned)
			return callerGone
		}
		return g.handleBrokenAnswer(r, t, err)
	}
	g.recordAnswer(r, t, answer.Status < http.StatusMultipleChoices)
	return delivered
}

// classifyAnswerError maps the error of an unusable answer to the outcome that is
// recorded for its upstream and the reason that is logged and counted.
func classifyAnswerError(err error) (placement.Outcome, reason.Reason) {
	if errors.Is(err, exchange.ErrTooLong) {
		return placement.Unreachable, reason.AnswerTooLong
	}
	return placement.Failed, reason.StreamBroken
}

// handleBrokenAnswer ends an attempt whose answer is incomplete or unusable.
func (g *Gateway) handleBrokenAnswer(r *request, t *placement.Ticket, err error) attemptResult {
	var outcome placement.Outcome
	outcome, r.progress.reason = classifyAnswerError(err)
	g.endAttempt(t, outcome)
	r.progress.detail = err.Error()
	g.logFailedAttempt(r, "answer broken")
	g.suspectCrash(r, err)
	return broken
}

// markStarted records that an upstream has begun to answer. The time to the first event
// and the customer's usage are counted only once per request.
func (g *Gateway) markStarted(r *request, t *placement.Ticket) {
	now := time.Now()
	if r.progress.firstEvent == 0 {
		r.progress.firstEvent = now.Sub(r.arrived)
		g.metrics.recordLatency("first_event_ms", r, r.progress.firstEvent)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.FirstEvent(now, t)
	if r.customer != nil && !r.progress.usageCounted {
		r.progress.usageCounted = true
		g.usage.Count(g.trueTime(), r.customer.Name)
	}
}

// writeAnswer sends a buffered answer to the caller.
func (g *Gateway) writeAnswer(r *request, buffered *bufferedAnswer) {
	r.progress.headSent = true
	if err := buffered.write(r.w); err != nil {
		r.progress.detail = "caller: " + err.Error()
	}
}

// finish ends a request that gets no further attempt. If the caller has a part of an
// answer, its connection is closed. Otherwise it gets the last answer of an upstream, if
// there is one, or an error; refused is sent if no upstream can have run the request.
func (g *Gateway) finish(r *request, buffered *bufferedAnswer, refused *refusal) {
	p := &r.progress
	switch {
	case p.headSent:
		g.abortConnection(r, "failed")
	case buffered != nil:
		g.writeAnswer(r, buffered)
		g.metrics.failed.Inc(1)
		g.logRequest(r, "upstream failed", buffered.status, p.reason)
	case !p.mayHaveRun:
		g.refuse(r, refused)
	case refused.isPoison():
		g.answerFailure(r, refused.status, refused.reason)
	default:
		g.answerFailure(r, http.StatusBadGateway, p.reason)
	}
}

// answerFailure sends an error for a request that an upstream may have run, but for
// which there is no answer to relay.
func (g *Gateway) answerFailure(r *request, status int, code reason.Reason) {
	g.metrics.failed.Inc(1)
	g.logRequest(r, "failed", status, code)
	platform.Refuse(r.w, r.RequestID, status, 0, string(code))
}

// abandon ends a request whose caller has disconnected or whose deadline has passed.
func (g *Gateway) abandon(r *request, buffered *bufferedAnswer) {
	p := &r.progress
	if r.http.Context().Err() != nil {
		g.metrics.abandoned.Inc(1)
		g.logRequest(r, "caller gone", 0, p.reason)
		panic(http.ErrAbortHandler)
	}
	if p.headSent || buffered != nil || !p.mayHaveRun {
		g.finish(r, buffered, newRefusal(http.StatusServiceUnavailable, reason.TimedOut, minRetryAfter))
		return
	}
	g.metrics.failed.Inc(1)
	g.logRequest(r, "timed out", http.StatusGatewayTimeout, reason.TimedOut)
	platform.Refuse(r.w, r.RequestID, http.StatusGatewayTimeout, 0, string(reason.TimedOut))
}

// abortConnection closes the caller's connection, so that the caller notices that the
// answer is incomplete.
func (g *Gateway) abortConnection(r *request, outcome string) {
	g.metrics.failed.Inc(1)
	g.logRequest(r, outcome, 0, r.progress.reason)
	panic(http.ErrAbortHandler)
}
