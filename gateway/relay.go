package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"jaylink/decision/answer"
	"jaylink/decision/placement"
	"jaylink/decision/reason"
	"jaylink/internal/membudget"
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

// errUnusable means that an answer is not a proper one, or does not go on with what the
// caller has.
var errUnusable = errors.New("answer has no seal, is content-encoded or does not continue the stream")

// errLongUnsealed means that an answer without a seal does not fit into the buffer.
var errLongUnsealed = fmt.Errorf("answer without a seal: %w", exchange.ErrTooLong)

// relay does with an answer what answer.Decide says.
func (g *Gateway) relay(ctx context.Context, r *request, t *placement.Ticket, a *exchange.Answer, head platform.UpstreamHeaders) (attemptResult, *bufferedAnswer) {
	h := answerHead(a, head)
	switch use := answer.Decide(h, r.reply.given()); use {
	case answer.Stream:
		return g.relayStream(ctx, r, t, a), nil
	case answer.Reject:
		g.markStarted(r, t)
		return g.handleBrokenAnswer(r, t, errUnusable), nil
	case answer.Fail:
		g.markStarted(r, t)
		g.drain(a)
		return g.handleFailure(r, t, a.Status), nil
	default:
		g.markStarted(r, t)
		return g.relayWhole(ctx, r, t, a, h, use)
	}
}

// answerHead returns what an answer's status and headers say about it.
func answerHead(a *exchange.Answer, head platform.UpstreamHeaders) answer.Head {
	return answer.Head{
		Status: a.Status, NotRun: head.NotRun, Sealed: head.Sealed, Encoded: len(a.Header["Content-Encoding"]) > 0, EventStream: a.IsEventStream(),
	}
}

// drain reads the rest of a short answer that is not relayed, so that its connection can be
// used again.
func (g *Gateway) drain(a *exchange.Answer) {
	a.SetReadDeadline(time.Now().Add(drainTimeout))
	// After an error the connection is closed instead.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxDrained))
}

// relayWhole reads a whole answer before it sends any of it to the caller, so that the
// request can be retried if the connection breaks.
func (g *Gateway) relayWhole(ctx context.Context, r *request, t *placement.Ticket, a *exchange.Answer, h answer.Head, use answer.Use) (attemptResult, *bufferedAnswer) {
	buffer := r.newBuffer(g.answerMemory)
	_, err := buffer.ReadFrom(io.LimitReader(a, maxBufferedAnswer+1))
	isFull := errors.Is(err, membudget.ErrFull)
	if isFull || err == nil && len(buffer.Bytes()) > maxBufferedAnswer {
		if isFull {
			g.metrics.unbuffered.Inc(1)
		}
		goesOn := use == answer.Keep && g.reserveAlternative(r, r.progress.attempts)
		return g.relayLong(ctx, r, t, a, buffer, answer.DecideLong(h, use, goesOn)), nil
	}
	if err == nil {
		err = g.checkEnd(ctx, r, a)
	}
	switch {
	case ctx.Err() != nil:
		g.endAttempt(t, placement.Abandoned)
		return callerGone, nil
	case err != nil:
		return g.handleBrokenAnswer(r, t, err), nil
	}
	buffered := &bufferedAnswer{a.Status, platform.CallerAnswer(a.Header), buffer.Bytes()}
	if use == answer.Keep {
		return g.handleFailure(r, t, a.Status), buffered
	}
	g.recordAnswer(r, t, a.Status < http.StatusMultipleChoices)
	g.writeAnswer(r, buffered)
	return delivered, buffered
}

// handleFailure ends an attempt in which the upstream has failed the request.
func (g *Gateway) handleFailure(r *request, t *placement.Ticket, status int) attemptResult {
	g.endAttempt(t, placement.Failed)
	r.progress.reason = reason.UpstreamError
	r.progress.detail = strconv.Itoa(status)
	g.logFailedAttempt(r, "upstream failed")
	return serverError
}

// relayLong deals with an answer that is too long to buffer; read has the beginning of its
// body.
func (g *Gateway) relayLong(ctx context.Context, r *request, t *placement.Ticket, a *exchange.Answer, read *membudget.Buffer, use answer.Use) attemptResult {
	defer read.Release()
	switch use {
	case answer.Fail:
		return g.handleFailure(r, t, a.Status)
	case answer.Reject:
		return g.handleBrokenAnswer(r, t, errLongUnsealed)
	}
	r.progress.partial = true
	r.reply.begin(a.Status, platform.CallerAnswer(a.Header))
	_, err := r.reply.Write(read.Bytes())
	read.Release()
	n := int64(0)
	if err == nil {
		n, err = io.Copy(&r.reply, io.LimitReader(a, maxAnswerBytes+1))
	}
	switch {
	case err == nil && n > maxAnswerBytes:
		err = exchange.ErrTooLong
	case err == nil:
		err = g.checkEnd(ctx, r, a)
	}
	var lost *callerError
	switch {
	case errors.As(err, &lost) || err != nil && ctx.Err() != nil:
		g.endAttempt(t, placement.Abandoned)
		r.progress.detail = err.Error()
		return callerGone
	case err != nil:
		return g.handleBrokenAnswer(r, t, err)
	}
	g.recordAnswer(r, t, a.Status < http.StatusMultipleChoices)
	return delivered
}

// classifyAnswerError maps the error of an unusable answer to the outcome that is
// recorded for its upstream and the reason that is logged and counted.
func classifyAnswerError(err error) (placement.Outcome, reason.Reason) {
	switch {
	case errors.Is(err, exchange.ErrTooLong):
		return placement.Unreachable, reason.AnswerTooLong
	case errors.Is(err, membudget.ErrFull):
		return placement.Failed, reason.AnswerTooLong
	case errors.Is(err, exchange.ErrUnconfirmedEnd):
		return placement.Failed, reason.UnconfirmedEnd
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
	err := r.reply.whole(buffered.status, buffered.header, buffered.body)
	if errors.Is(err, errReplyBegun) {
		g.abortConnection(r, "failed")
	}
	if err != nil {
		r.progress.detail = err.Error()
	}
}

// finish ends a request that gets no further attempt. If the caller has a part of an
// answer, its connection is closed. Otherwise it gets the last answer of an upstream, if
// there is one, or an error; refused is sent if no upstream can have run the request.
func (g *Gateway) finish(r *request, buffered *bufferedAnswer, refused *refusal) {
	p := &r.progress
	switch {
	case r.reply.begun():
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
	g.sendProblem(r, status, 0, code)
}

// restOfBodyTimeout is how long the rest of a request's body is read that is not needed any more.
const restOfBodyTimeout = 100 * time.Millisecond

// sendProblem sends an answer of this entry to the caller.
func (g *Gateway) sendProblem(r *request, status int, retryAfter time.Duration, code reason.Reason) {
	if !r.hasBody {
		// The server reads what is left of the body before it sends the answer. Only response
		// writers of tests don't support deadlines.
		_ = http.NewResponseController(r.reply.w).SetReadDeadline(time.Now().Add(restOfBodyTimeout))
	}
	if err := r.reply.problem(r.RequestID, status, retryAfter, string(code)); err != nil {
		g.abortConnection(r, "failed")
	}
}

// abandon ends a request whose caller has disconnected or whose deadline has passed.
func (g *Gateway) abandon(r *request, buffered *bufferedAnswer) {
	p := &r.progress
	if r.http.Context().Err() != nil {
		g.metrics.abandoned.Inc(1)
		g.logRequest(r, "caller gone", 0, p.reason)
		panic(http.ErrAbortHandler)
	}
	if r.reply.begun() || buffered != nil || !p.mayHaveRun {
		g.finish(r, buffered, newRefusal(http.StatusServiceUnavailable, reason.TimedOut, minRetryAfter))
		return
	}
	g.metrics.failed.Inc(1)
	g.logRequest(r, "timed out", http.StatusGatewayTimeout, reason.TimedOut)
	g.sendProblem(r, http.StatusGatewayTimeout, 0, reason.TimedOut)
}

// abortConnection closes the caller's connection, so that the caller notices that the
// answer is incomplete.
func (g *Gateway) abortConnection(r *request, outcome string) {
	g.metrics.failed.Inc(1)
	g.logRequest(r, outcome, 0, r.progress.reason)
	panic(http.ErrAbortHandler)
}
