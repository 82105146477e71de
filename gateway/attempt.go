package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/reason"
	"jaylink/platform"
	"jaylink/serving"
	"jaylink/upstream/exchange"
)

const (
	// noUpstreamRetry is when to come back if a service has no upstream.
	noUpstreamRetry = 400 * time.Millisecond
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
	// maxDeclined bounds the upstreams that may turn a request away unrun.
	maxDeclined = 3
	// lateFactor is the part of the objective beyond which a predicted first
	// event is not worth starting.
	lateFactor = 1.3
	// minRemaining is the least time that an attempt needs.
	minRemaining = 20 * time.Millisecond
	// minHeadLimit and silenceFactor times the predicted wait bound the wait
	// for an answer that another upstream could give.
	minHeadLimit  = 150 * time.Millisecond
	silenceFactor = 2
	// freshConnection is how long a connection may have been idle for work that
	// may not be repeated; shorter than upstreams' idle timeouts.
	freshConnection = time.Second
	// declinedBody bounds what is read of a refusal, in bytes.
	declinedBody = 16 << 10
	// lowestUrgency is the highest number that engines take.
	lowestUrgency = 9
)

// progress is what has become of a request so far.
type progress struct {
	attempts int
	declined int
	tried    []string
	// mayHaveRun says that some upstream may have run the request.
	mayHaveRun bool
	// headSent says that the caller has the head of an answer.
	headSent bool
	// partial says that the caller has the beginning of an answer that can't go on
	// elsewhere.
	partial   bool
	lastEvent int64
	// upstream is that of the newest attempt.
	upstream  serving.Upstream
	predicted time.Duration
	// unread and running are the choice's unread tokens and the requests that
	// were there already.
	unread, running int
	first           time.Duration
	// pause is the longest time between two events, lastAt that of the newest.
	pause  time.Duration
	lastAt time.Time
	why    reason.Reason
	// counted says that the request stands in the usage of its customer.
	counted bool
	detail  string
}

// ending is how one attempt ended.
type ending int

const (
	// delivered: the caller has the whole answer.
	delivered ending = iota
	// notRun: the upstream turned the request away, or never had it whole.
	notRun
	// broken: the attempt failed and may have run.
	broken
	// callerGone: the caller left.
	callerGone
	// rejected: the upstream answered with a failure, which is held.
	rejected
)

// run sends a request to upstreams until one answers.
func (g *Gateway) run(ctx context.Context, r *request) {
	var held *heldAnswer
	for {
		choice, no := g.place(r)
		if no != nil {
			g.finish(r, held, no)
			return
		}
		end, answer := g.attempt(ctx, r, choice)
		if answer != nil {
			held = answer
		}
		switch {
		case end == delivered:
			g.logEnd(r, "answered", held.statusOr(http.StatusOK), r.progress.why)
			return
		case end == callerGone || ctx.Err() != nil:
			g.giveUp(r, held)
			return
		case g.isPoison(r):
			g.finish(r, held, refusePoison(r))
			return
		case !g.mayRepeat(r, end):
			g.finish(r, held, g.unserved(r))
			return
		}
		g.metrics.retried[r.progress.why].Inc(1)
	}
}

// place picks the upstream for the next attempt, or says why there is none.
func (g *Gateway) place(r *request) (placement.Choice, *refusal) {
	p := &r.progress
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	choice, ok := g.table.Pick(now, &placement.Request{
		Service: r.service, Prompt: r.Prompt, Zone: g.settings.Zone, Tried: p.tried,
		MaxRunning: connectionShare(r.service, g.entries()),
	})
	if !ok {
		return choice, g.nobody(now, r)
	}
	p.predicted, p.unread, p.running = choice.Predicted, choice.Load.Unread, choice.Running
	if p.attempts == 0 && p.declined == 0 {
		if no := late(now, r, choice); no != nil {
			return choice, no
		}
	}
	return choice, nil
}

// connectionShare is this entry's part of the connections that an upstream takes
// from all entries together; 0 is no bound.
func connectionShare(s *serving.Service, entries int) int {
	if s.MaxConnections <= 0 {
		return 0
	}
	return max(s.MaxConnections/entries, 1)
}

// nobody refuses a request that no upstream can take. The caller holds mu.
func (g *Gateway) nobody(now time.Time, r *request) *refusal {
	ready := g.table.Count(r.service.Name)
	if no := g.allRest(now, r); no != nil {
		return no
	}
	why := reason.NoUpstream
	if ready > len(r.progress.tried) {
		why = reason.QueueFull
	}
	return refused(http.StatusServiceUnavailable, why, noUpstreamRetry, "upstreams", ready)
}

// allRest refuses a request until the first upstream of its service wants requests
// again; nil if one does now. The caller holds mu.
func (g *Gateway) allRest(now time.Time, r *request) *refusal {
	resting, until := g.table.Resting(now, r.service.Name)
	if resting == 0 || resting < g.table.Count(r.service.Name) {
		return nil
	}
	return refused(http.StatusServiceUnavailable, reason.UpstreamsRest, until.Sub(now), "resting", resting)
}

// late refuses a request whose answer would come too late to be of use. A prompt
// that takes longer than the objective even on an idle upstream is not refused
// for its size.
func late(now time.Time, r *request, c placement.Choice) *refusal {
	remaining := r.deadline.Sub(now)
	bound := remaining
	if o := time.Duration(lateFactor * float64(r.route.Objective)); o > 0 {
		bound = min(bound, max(o, c.Own+o/2))
	}
	if c.Predicted <= bound && remaining >= minRemaining {
		return nil
	}
	wait := max(c.Predicted-bound, minRetryAfter)
	return refused(http.StatusServiceUnavailable, reason.DeadlineUnmet, wait, "bound_ms", bound.Milliseconds(), "own_ms", c.Own.Milliseconds())
}

// unserved is the refusal of a request that no upstream has taken.
func (g *Gateway) unserved(r *request) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	if no := g.allRest(time.Now(), r); no != nil {
		return no
	}
	why := reason.NoUpstream
	if r.progress.why == reason.UpstreamBusy {
		why = reason.QueueFull
	}
	return refused(http.StatusServiceUnavailable, why, max(r.progress.predicted, minRetryAfter))
}

// mayRepeat decides whether a request may go to another upstream.
func (g *Gateway) mayRepeat(r *request, end ending) bool {
	p := &r.progress
	switch {
	case p.partial, end == notRun && p.declined >= maxDeclined:
		return false
	case end != notRun && (!r.route.Repeatable() || p.attempts >= r.route.MaxAttempts):
		return false
	case p.mayHaveRun && !r.route.Repeatable():
		return false
	case time.Until(r.deadline) < minRemaining:
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget(r.service.Name).Take(time.Now(), g.entries()) {
		g.metrics.refused[reason.RetryBudget].Inc(1)
		return false
	}
	return true
}

// attempt sends a request to one upstream.
func (g *Gateway) attempt(ctx context.Context, r *request, choice placement.Choice) (ending, *heldAnswer) {
	p := &r.progress
	p.upstream = choice.Upstream
	p.tried = append(p.tried, choice.Upstream.ID)
	ticket := g.begin(r, choice)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answer, head, err := g.send(ctx, r, choice)
	if err != nil {
		return g.failedSend(ctx, r, ticket, err), nil
	}
	defer answer.Close()
	g.heed(choice.Upstream, head)
	if head.NotRun {
		return g.declined(r, ticket, answer), nil
	}
	p.attempts++
	p.mayHaveRun = true
	if answer.Streams() && answer.Status < 300 {
		return g.relayStream(ctx, r, ticket, answer, head)
	}
	return g.relayWhole(ctx, r, ticket, answer, head)
}

// heed takes what an upstream says of itself with an answer.
func (g *Gateway) heed(u serving.Upstream, head platform.UpstreamHeaders) {
	now := time.Now()
	g.mu.Lock()
	if load := head.Load; load != nil {
		g.table.Told(now, u.ID, load.Running+load.Waiting)
	}
	leaves := head.Leaving && g.table.Leave(u)
	rests := head.Rest > 0 && g.table.Rest(now, u, head.Rest)
	g.mu.Unlock()
	if leaves {
		g.metrics.changed[upstreamLeaving].Inc(1)
		g.log.Info("upstream leaves by its own word", "upstream", u.ID, "address", u.Address, "born", u.Born)
	}
	if rests {
		g.metrics.changed[upstreamRests].Inc(1)
		g.log.Info("upstream wants no requests", "upstream", u.ID, "for", head.Rest)
	}
}

// begin counts an attempt that is about to be sent.
func (g *Gateway) begin(r *request, choice placement.Choice) *placement.Ticket {
	now := time.Now()
	g.tellLarge(choice.Load.Unread)
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.progress.attempts == 0 && r.progress.declined == 0 {
		g.budget(r.service.Name).First(now)
	}
	return g.table.Start(now, choice, r.Prompt)
}

func (g *Gateway) end(t *placement.Ticket, outcome placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(time.Now(), t, outcome)
}

func (g *Gateway) send(ctx context.Context, r *request, choice placement.Choice) (*exchange.Answer, platform.UpstreamHeaders, error) {
	header := platform.EncodeAttempt(r.http.Header, platform.Attempt{
		Instance:  choice.Upstream.ID,
		Customer:  customerName(r),
		Remaining: time.Until(r.deadline),
		Urgency:   urgency(r),
		LastEvent: r.progress.lastEvent,
	})
	var head platform.UpstreamHeaders
	answer, err := g.pool.Do(ctx, choice.Upstream.Address, &exchange.Request{
		Method: r.http.Method, Target: r.target, Host: r.http.Host, Header: header,
		Body: r.body, HasBody: r.http.ContentLength != 0 || r.body != nil,
		Judge: func(status int, h http.Header) exchange.Verdict {
			head = platform.DecodeAnswer(status, h)
			mine := head.RequestID == r.RequestID || (head.RequestID == "" && head.NotRun)
			return exchange.Verdict{Mine: mine, KeepAlive: head.KeepAlive}
		},
		MaxIdle:     maxIdle(r),
		HeadTimeout: g.headLimit(r, choice.Predicted),
	})
	return answer, head, err
}

// maxIdle keeps work that may not be repeated off connections that the upstream
// may have closed.
func maxIdle(r *request) time.Duration {
	if r.route.Repeatable() {
		return 0
	}
	return freshConnection
}

// headLimit bounds the wait for an answer's head where another upstream could
// still be asked; 0 is no bound.
func (g *Gateway) headLimit(r *request, predicted time.Duration) time.Duration {
	if !g.mayGoOn(r, r.progress.attempts+1) {
		return 0
	}
	return max(r.route.Objective, minHeadLimit) + silenceFactor*predicted
}

// mayGoOn reports whether a request could go to yet another upstream after a
// number of attempts.
func (g *Gateway) mayGoOn(r *request, attempts int) bool {
	if !r.route.Repeatable() || attempts >= r.route.MaxAttempts {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	resting, _ := g.table.Resting(time.Now(), r.service.Name)
	return g.table.Count(r.service.Name)-resting > len(r.progress.tried)
}

// failedSend classifies an attempt without an answer.
func (g *Gateway) failedSend(ctx context.Context, r *request, t *placement.Ticket, err error) ending {
	p := &r.progress
	p.detail = err.Error()
	var ex *exchange.Error
	sent := errors.As(err, &ex) && ex.Sent
	if sent {
		p.attempts++
		p.mayHaveRun = true
	}
	if ctx.Err() != nil {
		g.end(t, placement.Abandoned)
		return callerGone
	}
	g.end(t, placement.Unreachable)
	p.why = reason.NoAnswer
	switch {
	case ex != nil && ex.Step == "connect":
		p.why = reason.ConnectFailed
	case errors.Is(err, exchange.ErrTooLong):
		p.why = reason.AnswerTooLong
	}
	g.logAttempt(r, "attempt failed")
	if sent {
		g.suspectCrash(r, err)
		return broken
	}
	p.declined++
	return notRun
}

// declined handles an upstream's word that it has not run the request.
func (g *Gateway) declined(r *request, t *placement.Ticket, answer *exchange.Answer) ending {
	p := &r.progress
	p.declined++
	p.why = reason.UpstreamBusy
	p.detail = http.StatusText(answer.Status)
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, declinedBody)); err != nil {
		p.detail += ": " + err.Error()
	}
	g.end(t, placement.Declined)
	g.logAttempt(r, "upstream declined")
	return notRun
}

func customerName(r *request) string {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// urgency maps a priority to what engines understand.
func urgency(r *request) int {
	return min(max(priorityOf(r.route, r.customer), 0), lowestUrgency)
}
