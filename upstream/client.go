package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"regexp"
	"time"

	"github.com/samber/oops"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/upstream/exchange"
)

const (
	connectTimeout  = time.Second
	idleConnTimeout = 90 * time.Second
	maxIdlePerHost  = 64
)

// Request headers of attempts.
const (
	// HeaderRequestID contains the tag of the attempt: the ID of the request
	// and the number of the attempt. If the upstream echoes it, the client
	// checks that the response belongs to the attempt.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey contains the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Result is the result of an attempt.
type Result struct {
	Outcome decision.Outcome
	// Ran is what is known about whether the upstream ran the request.
	Ran reason.Ran
	// Err is the cause of a failed attempt, with the attributes step and peer.
	Err error
	// FinishReason is the reason that the engine gives for the end of a
	// completion.
	FinishReason string
}

// echoesOtherAttempt reports whether a response header echoes the tag of another
// attempt. A value that does not have the form of a tag was set by the upstream for
// its own purposes and is ignored.
func echoesOtherAttempt(echo, tag string) bool {
	return echo != tag && attemptTag.MatchString(echo)
}

// attemptTag matches the tags that jaylink assigns to attempts.
var attemptTag = regexp.MustCompile(`^[0-9a-f]{32}\.[a-z0-9-]+/[0-9]+\.[0-9]+$`)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	// shared reuses connections. Go's transport retries a call by itself when a
	// reused connection turns out to be closed, so shared is only used for
	// idempotent calls.
	shared *http.Client
	// single opens a new connection for each call, so that the transport never
	// retries.
	single *http.Client
}

// New returns a client. meter may be nil.
func New(meter MeterFunc) *Client {
	return &Client{shared: newHTTPClient(false, meter), single: newHTTPClient(true, meter)}
}

func newHTTPClient(single bool, meter MeterFunc) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Transport: checkedTransport{&http.Transport{
			DialContext:         dialUpstream(dialer.DialContext, meter),
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleConnTimeout,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// send performs one attempt, whose connections it adds to used. If it returns no response, the
// Result is that of the attempt.
func (c *Client) send(req *http.Request, idempotent bool, used *usedConns) (*http.Response, Result) {
	client := c.single
	req.Close = !idempotent
	if idempotent {
		client = c.shared
	}
	trace := &httptrace.ClientTrace{GotConn: used.gotConn}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, Result{}
	}
	return nil, transportFailure(req.Context(), "send", req.URL.Host, used.finish(), err)
}

// transportFailure maps a transport error to a Result. If sent is false, the
// operating system accepted no byte of the request, so it can't have run. After the
// first byte it is unknown whether it ran: an upstream that does not wait for the
// end of a request may run even a truncated one.
func transportFailure(ctx context.Context, step, peer string, sent bool, err error) Result {
	res := Result{Outcome: decision.OutcomeNoAnswer, Ran: reason.RanUnknown}
	switch {
	case !sent:
		res = Result{Outcome: decision.OutcomeConnectFailed, Ran: reason.RanNo}
	case errors.Is(err, exchange.ErrInvalidStatus):
		res.Outcome = decision.OutcomeInvalidStatus
	case step == "read":
		res.Outcome = decision.OutcomeBroken
	}
	// The transport's error contains the URL. Its query may hold data of the
	// caller and must not be logged.
	var withURL *url.Error
	if errors.As(err, &withURL) {
		err = withURL.Err
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		res.Outcome = decision.OutcomeCanceled
	}
	res.Err = oops.In("upstream").Code(string(res.Outcome)).With("step", step, "peer", peer).Wrap(err)
	return res
}

// statusFailure returns the Result of a response with a failure status.
func statusFailure(peer string, status int, outcome decision.Outcome, ran reason.Ran) Result {
	err := oops.In("upstream").Code(string(outcome)).With("step", "answer", "peer", peer, "status", status).
		Errorf("upstream answered status %d", status)
	return Result{Outcome: outcome, Ran: ran, Err: err}
}
