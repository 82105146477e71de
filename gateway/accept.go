package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"jaylink/decision/reason"
	"jaylink/platform"
	"jaylink/serving"
)

const (
	// maxHeaderBytes is what net/http reads of a request's headers.
	maxHeaderBytes = 64 << 10
	// defaultTimeout bounds requests that state no deadline on routes without
	// a timeout.
	defaultTimeout = 30 * time.Second
	// confirmSlack is added to the wait of a watch before the configuration
	// counts as not confirmed.
	confirmSlack = 500 * time.Millisecond
	// writeSlack is how long after its deadline a request may take to be answered.
	writeSlack = 2 * time.Second
	// notReadyRetry is when to come back to an entry that knows no
	// configuration yet.
	notReadyRetry = 300 * time.Millisecond
)

// request is one caller's request on its way.
type request struct {
	platform.CallerHeaders
	http     *http.Request
	w        http.ResponseWriter
	target   string
	body     []byte
	config   *acceptedConfiguration
	route    *serving.Route
	service  *serving.Service
	customer *serving.Customer
	// work is what was taken off the customer's allowance.
	work float64
	// print is the fingerprint once it was asked for, else 0.
	print    uint64
	arrived  time.Time
	deadline time.Time
	progress progress
}

// refusal is an answer of the entry's own.
type refusal struct {
	status     int
	why        reason.Reason
	retryAfter time.Duration
	// inputs are what decided it, as pairs for the log.
	inputs []any
}

// refused returns a refusal that says what decided it.
func refused(status int, why reason.Reason, retryAfter time.Duration, inputs ...any) *refusal {
	return &refusal{status, why, retryAfter, inputs}
}

// serveCaller handles one request from its headers to its last byte.
func (g *Gateway) serveCaller(w http.ResponseWriter, hr *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r := &request{
		CallerHeaders: platform.DecodeCaller(hr.Header), http: hr, w: w, target: hr.RequestURI, arrived: time.Now(),
	}
	r.progress.lastEvent = r.LastEvent
	if no := g.admit(r); no != nil {
		g.refuse(r, no)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), r.deadline)
	defer cancel()
	// A caller that does not read would hold its request for good. Only connections
	// of tests know no deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(r.deadline.Add(writeSlack))
	g.run(ctx, r)
}

// admit finds out where a request goes and whether it may.
func (g *Gateway) admit(r *request) *refusal {
	r.config = g.config.Load()
	if r.config == nil || g.upstreams.Load() == nil {
		return refused(http.StatusServiceUnavailable, reason.NotReady, notReadyRetry)
	}
	if bound := r.config.Limits.MaxHeaderBytes; bound > 0 && headerSize(r.http) > bound {
		return refused(http.StatusRequestHeaderFieldsTooLarge, reason.HeaderTooLarge, 0)
	}
	path, _, _ := strings.Cut(r.target, "?")
	r.route = r.config.Route(hostOf(r.http.Host), path)
	if r.route == nil {
		return g.unknown(http.StatusNotFound, reason.UnknownService)
	}
	if !r.route.Anonymous && len(r.config.Customers) > 0 {
		r.customer = r.config.CustomerOf(r.Key)
		if r.customer == nil {
			return g.unknown(http.StatusUnauthorized, reason.UnknownCustomer)
		}
	}
	r.service = r.config.Service(r.route.PickTarget(draw(r.RequestID)))
	if r.service == nil {
		return refused(http.StatusServiceUnavailable, reason.NoUpstream, noUpstreamRetry)
	}
	r.deadline = r.arrived.Add(timeLimit(r))
	if no := readBody(r); no != nil {
		return no
	}
	if g.isPoison(r) {
		return refusePoison(r)
	}
	return g.admitWork(r)
}

// headerSize returns the bytes of a request's first line and headers, without
// what separates them.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// unknown refuses what the configuration does not have. An entry whose
// configuration nobody has confirmed of late, for example because it was
// suspended, can't know and asks the caller to come back.
func (g *Gateway) unknown(status int, why reason.Reason) *refusal {
	age := steady() - time.Duration(g.confirmed.Load())
	if age > g.watchWait()+confirmSlack {
		return refused(http.StatusServiceUnavailable, reason.NotReady, notReadyRetry, "confirmed_ms_ago", age.Milliseconds())
	}
	return refused(status, why, 0, "confirmed_ms_ago", age.Milliseconds())
}

// admitWork takes a request's work off its customer's allowance.
func (g *Gateway) admitWork(r *request) *refusal {
	if r.customer == nil {
		return nil
	}
	work := r.customer.Work(r.Prompt)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if ok, wait := g.quota.Take(now, r.customer.Name, work, r.route.Priority); !ok {
		s := g.quota.State(now, r.customer.Name)
		return refused(http.StatusTooManyRequests, reason.CustomerLimit, max(wait, minRetryAfter),
			"asked", work, "allowance_rate", s.Rate, "allowance_burst", s.Burst, "allowance_level", int(s.Level),
			"allowance_part", int(s.Part), "allowance_demand", int(s.Demand), "allowance_share", s.Share, "silent_peers", s.Silent)
	}
	r.work = work
	return nil
}

func hostOf(authority string) string {
	if host, _, err := net.SplitHostPort(authority); err == nil {
		return host
	}
	return authority
}

// draw maps a request to [0, 1); the retries of one request share it.
func draw(requestID string) float64 {
	h := fnv.New32a()
	// Writing to a hash can't fail.
	_, _ = h.Write([]byte(requestID))
	return float64(h.Sum32()) / (1 << 32)
}

func timeLimit(r *request) time.Duration {
	limit := r.Deadline
	if t := r.route.Timeout; t > 0 && (limit == 0 || t < limit) {
		limit = t
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	return limit
}

// readBody reads the whole body, so that it can be sent again.
func readBody(r *request) *refusal {
	bound := r.config.Limits.MaxBodyBytes
	if bound <= 0 {
		bound = 1 << 20
	}
	if r.http.ContentLength > bound {
		return refused(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, 0)
	}
	if r.http.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(r.w)
	// Connections that know no deadline are only those of tests.
	_ = control.SetReadDeadline(r.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(r.w, r.http.Body, bound))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refused(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, 0)
	case isTimeout(err):
		return refused(http.StatusRequestTimeout, reason.BodyTooSlow, 0)
	case err != nil:
		return refused(http.StatusBadRequest, reason.BadRequest, 0)
	}
	r.body = body
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// refuse answers a request that was given to no upstream, or that all upstreams
// have turned away unrun.
func (g *Gateway) refuse(r *request, no *refusal) {
	if r.customer != nil && r.work > 0 {
		g.mu.Lock()
		g.quota.Refund(r.customer.Name, r.work)
		g.mu.Unlock()
	}
	g.metrics.refused[no.why].Inc(1)
	g.logEnd(r, "refused", no.status, no.why, append([]any{"retry_after", no.retryAfter.Seconds()}, no.inputs...)...)
	platform.Refuse(r.w, r.RequestID, no.status, no.retryAfter, string(no.why))
}
