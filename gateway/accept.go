package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"time"

	"jaylink/decision/reason"
	"jaylink/internal/membudget"
	"jaylink/platform"
	"jaylink/serving"
)

const (
	// maxHeaderBytes is the limit on request headers that net/http enforces.
	maxHeaderBytes = 64 << 10
	// defaultTimeout applies to requests without a deadline on routes without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// confirmSlack is added to the wait time of a watch; the configuration counts as
	// unconfirmed once its last confirmation is older than the sum.
	confirmSlack = 500 * time.Millisecond
	// writeSlack is how long after the request's deadline writes of its answer may
	// continue.
	writeSlack = 2 * time.Second
	// notReadyRetryAfter is the Retry-After of an entry without a configuration, or
	// with an unconfirmed one.
	notReadyRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is the Retry-After if there is no memory for a request's body.
	memoryRetryAfter = 500 * time.Millisecond
)

// request is a caller's request while it is being handled.
type request struct {
	platform.CallerHeaders
	http   *http.Request
	reply  reply
	target string
	body   []byte
	// hasBody is set once the body has been read, or if there is none.
	hasBody bool
	// buffers hold the request's body and the answers that are kept until its end.
	buffers  []*membudget.Buffer
	config   *acceptedConfiguration
	route    *serving.Route
	service  *serving.Service
	customer *serving.Customer
	// work is the amount that was charged to the customer's allowance.
	work float64
	// cachedFingerprint is the result of fingerprint, or 0 before its first call.
	cachedFingerprint uint64
	arrived           time.Time
	deadline          time.Time
	progress          progress
}

// refusal is an error answer that the entry generates itself.
type refusal struct {
	status     int
	reason     reason.Reason
	retryAfter time.Duration
	// inputs are the values that led to the refusal, as key-value pairs for the log.
	inputs []any
}

// newRefusal returns a refusal; inputs are key-value pairs for the log.
func newRefusal(status int, code reason.Reason, retryAfter time.Duration, inputs ...any) *refusal {
	return &refusal{status, code, retryAfter, inputs}
}

// serveCaller handles one request from its headers to its last byte.
func (g *Gateway) serveCaller(w http.ResponseWriter, hr *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r := &request{
		CallerHeaders: platform.DecodeCaller(hr.Header), http: hr, reply: newReply(w, hr), target: hr.RequestURI, arrived: time.Now(),
	}
	defer r.releaseBuffers()
	defer g.answerPanic(r)
	r.progress.lastEvent = r.LastEvent
	if refused := g.admit(r); refused != nil {
		g.refuse(r, refused)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), r.deadline)
	defer cancel()
	defer context.AfterFunc(g.givenUp, cancel)()
	// Without a write deadline, a caller that does not read would keep its request open
	// forever. Only response writers of tests don't support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(r.deadline.Add(writeSlack))
	g.forward(ctx, r)
}

// newBuffer returns a buffer that is released at the end of the request.
func (r *request) newBuffer(budget *membudget.Budget) *membudget.Buffer {
	buffer := budget.NewBuffer()
	r.buffers = append(r.buffers, buffer)
	return buffer
}

func (r *request) releaseBuffers() {
	for _, buffer := range r.buffers {
		buffer.Release()
	}
}

// admit finds the route, customer and service of a request, reads its body and checks
// all limits. It returns nil if the request may be forwarded.
func (g *Gateway) admit(r *request) *refusal {
	if refused := g.drainRefusal(); refused != nil {
		return refused
	}
	r.config = g.config.Load()
	if r.config == nil || g.upstreams.Load() == nil {
		return newRefusal(http.StatusServiceUnavailable, reason.NotReady, notReadyRetryAfter)
	}
	if bound := r.config.Limits.MaxHeaderBytes; bound > 0 && headerSize(r.http) > bound {
		return newRefusal(http.StatusRequestHeaderFieldsTooLarge, reason.HeaderTooLarge, 0)
	}
	path, _, _ := strings.Cut(r.target, "?")
	r.route = r.config.Route(hostOf(r.http.Host), path)
	if r.route == nil {
		return g.unknownRefusal(http.StatusNotFound, reason.UnknownService)
	}
	if !r.route.Anonymous && len(r.config.Customers) > 0 {
		r.customer = r.config.CustomerOf(r.Key)
		if r.customer == nil {
			return g.unknownRefusal(http.StatusUnauthorized, reason.UnknownCustomer)
		}
	}
	r.service = r.config.Service(r.route.PickTarget(hashFraction(r.RequestID)))
	if r.service == nil {
		return newRefusal(http.StatusServiceUnavailable, reason.NoUpstream, noUpstreamRetryAfter)
	}
	r.deadline = r.arrived.Add(timeLimit(r))
	if refused := g.readBody(r); refused != nil {
		return refused
	}
	if refused := g.drainRefusal(); refused != nil {
		// The end of the body came late in the stop.
		return refused
	}
	if refused := g.poisonRefusal(r); refused != nil {
		return refused
	}
	if refused := g.admitWork(r); refused != nil {
		return refused
	}
	g.countDemand(r)
	return nil
}

// drainRefusal refuses requests late in a planned stop.
func (g *Gateway) drainRefusal() *refusal {
	if g.refusing.Load() {
		return newRefusal(http.StatusServiceUnavailable, reason.Draining, minRetryAfter)
	}
	return nil
}

// headerSize returns the size in bytes of a request's first line and headers, not
// counting separators.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// unknownRefusal refuses a request whose service or customer is not in the
// configuration. If the configuration has not been confirmed recently, for example
// because the entry was suspended, it may be outdated, and the caller is asked to retry
// instead.
func (g *Gateway) unknownRefusal(status int, code reason.Reason) *refusal {
	age := monotonic() - time.Duration(g.confirmedAt.Load())
	if age > g.watchTimeout()+confirmSlack {
		return newRefusal(http.StatusServiceUnavailable, reason.NotReady, notReadyRetryAfter, "confirmed_ms_ago", age.Milliseconds())
	}
	return newRefusal(status, code, 0, "confirmed_ms_ago", age.Milliseconds())
}

// admitWork charges a request to its customer's allowance, or refuses it if too little
// is left.
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
		return newRefusal(http.StatusTooManyRequests, reason.CustomerLimit, max(wait, minRetryAfter),
			"asked", work, "allowance_rate", s.Rate, "allowance_burst", s.Burst, "allowance_level", int(s.Level),
			"allowance_part", int(s.LocalLevel), "allowance_demand", int(s.Demand), "allowance_share", s.Share, "silent_peers", s.Silent)
	}
	r.work = work
	return nil
}

// hostOf returns an authority without its port.
func hostOf(authority string) string {
	if host, _, err := net.SplitHostPort(authority); err == nil {
		return host
	}
	return authority
}

// hashFraction maps a request ID to [0, 1). It is deterministic, so that all retries of
// a request get the same target of a traffic split.
func hashFraction(requestID string) float64 {
	h := fnv.New32a()
	// Write never returns an error.
	_, _ = h.Write([]byte(requestID))
	return float64(h.Sum32()) / (1 << 32)
}

// timeLimit returns the shorter of the caller's deadline and the route's timeout, or
// defaultTimeout if neither is set.
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

// readBody reads the whole body into memory, so that it can be sent more than once.
func (g *Gateway) readBody(r *request) *refusal {
	bound := r.config.Limits.MaxBodyBytes
	if bound <= 0 {
		bound = 1 << 20
	}
	if r.http.ContentLength > bound {
		return newRefusal(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, 0)
	}
	if r.http.ContentLength == 0 {
		r.hasBody = true
		return nil
	}
	control := http.NewResponseController(r.reply.w)
	// Only response writers of tests don't support deadlines.
	_ = control.SetReadDeadline(r.deadline)
	buffer := r.newBuffer(g.bodyMemory)
	err := buffer.ReadAll(http.MaxBytesReader(r.reply.w, r.http.Body, bound))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, reason.BodyTooLarge, 0)
	case errors.Is(err, membudget.ErrFull):
		return newRefusal(http.StatusServiceUnavailable, reason.MemoryFull, memoryRetryAfter, "bytes", g.bodyMemory.Used())
	case isTimeout(err):
		return newRefusal(http.StatusRequestTimeout, reason.BodyTooSlow, 0)
	case err != nil:
		return newRefusal(http.StatusBadRequest, reason.BadRequest, 0)
	}
	r.body, r.hasBody = buffer.Bytes(), true
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// refuse answers a request that no upstream has run, and refunds what was charged for
// it.
func (g *Gateway) refuse(r *request, refused *refusal) {
	if r.customer != nil && r.work > 0 {
		g.mu.Lock()
		g.quota.Refund(r.customer.Name, r.work)
		g.mu.Unlock()
	}
	g.metrics.refused[refused.reason].Inc(1)
	g.logRequest(r, "refused", refused.status, refused.reason, append([]any{"retry_after", refused.retryAfter.Seconds()}, refused.inputs...)...)
	g.sendProblem(r, refused.status, refused.retryAfter, refused.reason)
}
