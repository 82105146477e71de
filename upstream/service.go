package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/upstream/exchange"
)

// ServiceCall is one attempt at a request to a plain HTTP service.
type ServiceCall struct {
	Address    string
	RequestID  string // the attempt's tag, sent in HeaderRequestID
	Method     string
	URI        string // path and query
	Header     http.Header
	Body       []byte
	Idempotent bool
	// MaxAnswer is the maximum size of the response body in bytes.
	MaxAnswer int64
}

// Answer is the response of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopByHop are the headers that are not forwarded: the hop-by-hop headers, and
// Content-Length, which is computed again from the body.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Forward calls a plain service. A response with a status of 500 or more counts as a
// failed attempt, but is returned as well: if the request may not be retried, the
// caller receives it.
func (c *Client) Forward(ctx context.Context, call ServiceCall) (*Answer, Result) {
	url := "http://" + call.Address + call.URI
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, Result{Outcome: decision.OutcomeConnectFailed, Ran: reason.RanNo, Err: oops.In("upstream").Wrap(err)}
	}
	req.GetBody = nil
	req.Header = endToEnd(call.Header)
	req.Header.Set(HeaderRequestID, call.RequestID)
	var used usedConns
	began := time.Now()
	resp, res := c.send(req, call.Idempotent, &used)
	if resp == nil {
		return nil, res
	}
	defer resp.Body.Close()
	if echo := resp.Header.Get(HeaderRequestID); echoesOtherAttempt(echo, call.RequestID) {
		return nil, transportFailure(ctx, "read", call.Address, true, fmt.Errorf("answer is for request %q", echo))
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.MaxAnswer+1))
	if err == nil && !exchange.Delimited(resp) {
		err = c.confirmEnd(ctx, call.Address, began, used.wroteAll(ctx, req, call.Body))
	}
	if err != nil {
		return nil, truncatedAnswer(ctx, call.Address, resp.StatusCode, err)
	}
	if int64(len(body)) > call.MaxAnswer {
		err := oops.In("upstream").With("step", "read", "peer", call.Address).Errorf("answer is larger than %d bytes", call.MaxAnswer)
		return nil, Result{Outcome: decision.OutcomeTooLarge, Ran: reason.RanYes, Err: err}
	}
	answer := &Answer{Status: resp.StatusCode, Header: endToEnd(resp.Header), Body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		return answer, statusFailure(call.Address, resp.StatusCode, decision.OutcomeServerError, reason.RanUnknown)
	}
	return answer, Result{Outcome: decision.OutcomeDone, Ran: reason.RanYes}
}

// truncatedAnswer returns the Result of a response whose body could not be read
// completely. A 2xx status proves that the request ran.
func truncatedAnswer(ctx context.Context, peer string, status int, err error) Result {
	res := transportFailure(ctx, "read", peer, true, err)
	if status >= 200 && status < 300 {
		res.Ran = reason.RanYes
	}
	return res
}

// endToEnd returns a copy of h without the headers in hopByHop.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
