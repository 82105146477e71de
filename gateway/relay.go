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

// heldBytes bounds an answer that is held until it is whole; the rest of a
// longer one is relayed as it comes.
const heldBytes = 1 << 20

// longestAnswer bounds an answer that is no stream, in bytes, so that one without
// an end does not take an entry's link up to the caller's deadline.
const longestAnswer = 64 << 20

// heldAnswer is an upstream's whole answer.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (h *heldAnswer) statusOr(other int) int {
	if h == nil {
		return other
	}
	return h.status
}

func (h *heldAnswer) write(w http.ResponseWriter) error {
	maps.Copy(w.Header(), h.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	w.WriteHeader(h.status)
	_, err := w.Write(h.body)
	return err
}

// relayWhole reads an answer to its end before the caller gets any of it, so
// that one that breaks off can be asked for again.
func (g *Gateway) relayWhole(ctx context.Context, r *request, t *placement.Ticket, answer *exchange.Answer, head platform.UpstreamHeaders) (ending, *heldAnswer) {
	g.countRun(r, t)
	body, err := io.ReadAll(io.LimitReader(answer, heldBytes))
	if err == nil && len(body) == heldBytes {
		return g.relayLong(ctx, r, t, answer, body), nil
	}
	switch {
	case ctx.Err() != nil:
		g.end(t, placement.Abandoned)
		return callerGone, nil
	case err != nil:
		return g.brokenAnswer(r, t, err), nil
	case answer.Status < 300 && !genuine(answer, head):
		return g.brokenAnswer(r, t, errors.New("the answer bears no proof")), nil
	}
	held := &heldAnswer{answer.Status, platform.CallerAnswer(answer.Header), body}
	if answer.Status >= http.StatusInternalServerError {
		g.end(t, placement.Failed)
		r.progress.why = reason.UpstreamError
		r.progress.detail = strconv.Itoa(answer.Status)
		g.logAttempt(r, "upstream failed")
		return rejected, held
	}
	g.answered(r, t)
	g.deliver(r, held)
	return delivered, held
}

// genuine reports whether an answer is the upstream's own bytes.
func genuine(answer *exchange.Answer, head platform.UpstreamHeaders) bool {
	return head.Proven && answer.Header.Get("Content-Encoding") == ""
}

// relayLong relays an answer that is too long to hold.
func (g *Gateway) relayLong(ctx context.Context, r *request, t *placement.Ticket, answer *exchange.Answer, begun []byte) ending {
	r.progress.headSent, r.progress.partial = true, true
	maps.Copy(r.w.Header(), platform.CallerAnswer(answer.Header))
	r.w.WriteHeader(answer.Status)
	n, err := io.Copy(r.w, io.MultiReader(bytes.NewReader(begun), io.LimitReader(answer, longestAnswer)))
	if err == nil && n > longestAnswer {
		err = exchange.ErrTooLong
	}
	if err != nil {
		if ctx.Err() != nil {
			g.end(t, placement.Abandoned)
			return callerGone
		}
		return g.brokenAnswer(r, t, err)
	}
	g.answered(r, t)
	return delivered
}

// faultOf says what an unusable answer means for its upstream.
func faultOf(err error) (placement.Outcome, reason.Reason) {
	if errors.Is(err, exchange.ErrTooLong) {
		return placement.Unreachable, reason.AnswerTooLong
	}
	return placement.Failed, reason.StreamBroken
}

// brokenAnswer ends an attempt whose answer can't be used.
func (g *Gateway) brokenAnswer(r *request, t *placement.Ticket, err error) ending {
	var outcome placement.Outcome
	outcome, r.progress.why = faultOf(err)
	g.end(t, outcome)
	r.progress.detail = err.Error()
	g.logAttempt(r, "answer broken")
	g.suspectCrash(r, err)
	return broken
}

// countRun counts a request that began to run.
func (g *Gateway) countRun(r *request, t *placement.Ticket) {
	now := time.Now()
	if r.progress.first == 0 {
		r.progress.first = now.Sub(r.arrived)
		g.metrics.took("first_event_ms", r, r.progress.first)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.FirstEvent(now, t)
	if r.customer != nil && !r.progress.counted {
		r.progress.counted = true
		g.book.Count(g.trueTime(), r.customer.Name)
	}
}

// deliver writes a held answer to the caller.
func (g *Gateway) deliver(r *request, held *heldAnswer) {
	r.progress.headSent = true
	if err := held.write(r.w); err != nil {
		r.progress.detail = "caller: " + err.Error()
	}
}

// finish ends a request that gets no further attempt.
func (g *Gateway) finish(r *request, held *heldAnswer, no *refusal) {
	p := &r.progress
	switch {
	case p.headSent:
		g.abort(r, "failed")
	case held != nil:
		g.deliver(r, held)
		g.metrics.failed.Inc(1)
		g.logEnd(r, "upstream failed", held.status, p.why)
	case !p.mayHaveRun:
		g.refuse(r, no)
	case no.why == reason.Poison:
		g.fail(r, no.status, no.why)
	default:
		g.fail(r, http.StatusBadGateway, p.why)
	}
}

// fail answers a request that may have run and has no answer of an upstream.
func (g *Gateway) fail(r *request, status int, why reason.Reason) {
	g.metrics.failed.Inc(1)
	g.logEnd(r, "failed", status, why)
	platform.Refuse(r.w, r.RequestID, status, 0, string(why))
}

// giveUp ends a request whose caller left or whose time is over.
func (g *Gateway) giveUp(r *request, held *heldAnswer) {
	p := &r.progress
	if r.http.Context().Err() != nil {
		g.metrics.abandoned.Inc(1)
		g.logEnd(r, "caller gone", 0, p.why)
		panic(http.ErrAbortHandler)
	}
	if p.headSent || held != nil || !p.mayHaveRun {
		g.finish(r, held, refused(http.StatusServiceUnavailable, reason.TimedOut, minRetryAfter))
		return
	}
	g.metrics.failed.Inc(1)
	g.logEnd(r, "timed out", http.StatusGatewayTimeout, reason.TimedOut)
	platform.Refuse(r.w, r.RequestID, http.StatusGatewayTimeout, 0, string(reason.TimedOut))
}

// abort closes the caller's connection, so that an answer that is not whole does
// not look as if it were.
func (g *Gateway) abort(r *request, outcome string) {
	g.metrics.failed.Inc(1)
	g.logEnd(r, outcome, 0, r.progress.why)
	panic(http.ErrAbortHandler)
}
