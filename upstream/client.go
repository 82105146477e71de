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
)

const (
	connectTimeout  = time.Second
	idleConnTimeout = 90 * time.Second
	maxIdlePerHost  = 64
)

// Headers that go with every attempt.
const (
	// HeaderRequestID carries the request's ID and the number of the
	// attempt; an upstream that echoes it lets the client check that an
	// answer belongs to its request.
	HeaderRequestID = "X-Request-Id"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Result says how an attempt ended.
type Result struct {
	Outcome decision.Outcome
	Ran     reason.Ran
	// Err is the cause of a failed attempt, with step and peer.
	Err error
	// FinishReason is the engine's reason for the end of a completion.
	FinishReason string
}

// foreign reports whether an answer echoes the tag of another attempt. Echoes in
// another form are the upstream's own and say nothing.
func foreign(echo, tag string) bool {
	return echo != tag && tagForm.MatchString(echo)
}

// tagForm is the form of the tags that jaylink gives to attempts.
var tagForm = regexp.MustCompile(`^[0-9a-f]{32}\.[a-z0-9-]+/[0-9]+\.[0-9]+$`)

// Client calls upstreams. It is safe for concurrent use.
type Client struct {
	// shared reuses connections. The transport may repeat a call by itself
	// when a reused connection turns out to be closed, so shared carries
	// idempotent work only.
	shared *http.Client
	// single opens a connection a call, so the transport never repeats one.
	single *http.Client
}

// New returns a client. The meter may be nil.
func New(meter MeterFunc) *Client {
	return &Client{shared: newHTTPClient(false, meter), single: newHTTPClient(true, meter)}
}

func newHTTPClient(single bool, meter MeterFunc) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialCounted(metered(dialer.DialContext, meter)),
			DisableKeepAlives:   single,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close drops idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// send performs one attempt. On an error the Result is final.
func (c *Client) send(req *http.Request, idempotent bool) (*http.Response, Result) {
	client := c.single
	if idempotent {
		client = c.shared
	}
	var used usedConns
	trace := &httptrace.ClientTrace{GotConn: used.got}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, Result{}
	}
	return nil, failure(req.Context(), "send", req.URL.Host, used.given(), err)
}

// failure maps a transport error to a Result. As long as the system took no
// byte of the request, nothing was given to the upstream. After the first byte
// it is not known whether it ran: also a request that was cut off may have
// been run by an upstream that does not wait for its end.
func failure(ctx context.Context, step, peer string, given bool, err error) Result {
	res := Result{Outcome: decision.OutcomeNoAnswer, Ran: reason.RanUnknown}
	switch {
	case !given:
		res = Result{Outcome: decision.OutcomeConnectFailed, Ran: reason.RanNo}
	case step == "read":
		res.Outcome = decision.OutcomeBroken
	}
	// The transport's error has the URL, whose query belongs to the caller and
	// must not show in a log.
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

// statusFailure is the Result of an answer whose status says that it failed.
func statusFailure(peer string, status int, outcome decision.Outcome, ran reason.Ran) Result {
	err := oops.In("upstream").Code(string(outcome)).With("step", "answer", "peer", peer, "status", status).
		Errorf("upstream answered status %d", status)
	return Result{Outcome: outcome, Ran: ran, Err: err}
}
