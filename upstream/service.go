package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/samber/oops"

	"jaylink/decision"
	"jaylink/decision/reason"
)

// ServiceCall is one attempt at a call of a plain service.
type ServiceCall struct {
	Address    string
	RequestID  string // with the number of the attempt
	Method     string
	URI        string // path and query
	Header     http.Header
	Body       []byte
	Idempotent bool
	// MaxAnswer bounds the answer's body in bytes.
	MaxAnswer int64
}

// Answer is the answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Forward calls a plain service. An answer with a status of 500 or more counts
// as a failed attempt, but it is returned as well, so that the caller of work
// that may not be repeated sees it.
func (c *Client) Forward(ctx context.Context, call ServiceCall) (*Answer, Result) {
	url := "http://" + call.Address + call.URI
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, Result{Outcome: decision.OutcomeConnectFailed, Ran: reason.RanNo, Err: oops.In("upstream").Wrap(err)}
	}
	req.GetBody = nil
	req.Header = endToEnd(call.Header)
	req.Header.Set(HeaderRequestID, call.RequestID)
	resp, res := c.send(req, call.Idempotent)
	if resp == nil {
		return nil, res
	}
	defer resp.Body.Close()
	if echo := resp.Header.Get(HeaderRequestID); foreign(echo, call.RequestID) {
		return nil, failure(ctx, "read", call.Address, true, fmt.Errorf("answer is for request %q", echo))
	}
	if !delimited(resp) {
		return nil, failure(ctx, "read", call.Address, true, errUndelimited)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, call.MaxAnswer+1))
	if err != nil {
		return nil, cutAnswer(ctx, call.Address, resp.StatusCode, err)
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

// errUndelimited means that a whole answer could not be told from one that was
// cut off.
var errUndelimited = errors.New("answer has neither a length nor chunks")

// delimited reports whether the end of the answer's body can be told from a
// broken connection.
func delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// cutAnswer is the Result of an answer that broke in its body. A status of
// success says that the call ran, whatever became of the rest.
func cutAnswer(ctx context.Context, peer string, status int, err error) Result {
	res := failure(ctx, "read", peer, true, err)
	if status >= 200 && status < 300 {
		res.Ran = reason.RanYes
	}
	return res
}

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
