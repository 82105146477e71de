package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"jaylink/decision/reason"
)

// withRecover calls f to handle one message from outside the process and recovers from a
// panic in it, so that one malformed message does not end the process and its streams.
// f must release its locks with defer.
func (g *Gateway) withRecover(step string, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			g.metrics.panics.Inc(1)
			g.log.Error("panic while handling a message", "step", step, "err", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	f()
}

// answerPanic is deferred while a request is handled. If that panics, it answers the request: the
// server would close the connection. It relies on as little of the request as possible.
func (g *Gateway) answerPanic(r *request) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	g.metrics.panics.Inc(1)
	g.log.Error("panic while handling a request", "request_id", r.RequestID, "err", fmt.Sprint(cause), "stack", string(debug.Stack()))
	if len(r.progress.tried) > 0 {
		// How far the latest attempt got is unknown.
		g.metrics.failed.Inc(1)
		g.sendProblem(r, http.StatusBadGateway, 0, reason.Internal)
		return
	}
	g.metrics.refused[reason.Internal].Inc(1)
	g.sendProblem(r, http.StatusServiceUnavailable, minRetryAfter, reason.Internal)
}
