package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"jaylink/decision/notrun"
	"jaylink/decision/placement"
	"jaylink/decision/reason"
	"jaylink/decision/silence"
	"jaylink/platform"
	"jaylink/serving"
	"jaylink/upstream/exchange"
)

const (
	// maxDeclined is how many upstreams may decline a request before it is refused.
	maxDeclined = 3
	// nonRepeatableMaxIdle is the longest idle time of a connection that is reused for
	// a request that may not be repeated. It is shorter than the upstreams' idle
	// timeouts.
	nonRepeatableMaxIdle = time.Second
	// maxDrained is how many bytes of the body of an answer that is not relayed are read,
	// and drainTimeout for how long.
	maxDrained   = 16 << 10
	drainTimeout = 100 * time.Millisecond
	// maxUnknownHeaders limits the unknown headers that are remembered.
	maxUnknownHeaders = 32
	// lowestUrgency is the highest value of the urgency header that model engines
	// accept; higher values are less urgent.
	lowestUrgency = 9
)

// progress is the state of a request across its attempts.
type progress struct {
	// attempts counts the attempts that may have run, declined those that have not.
	attempts int
	declined int
	// tried holds the IDs of the upstreams of all attempts.
	tried []string
	// mayHaveRun is set once some upstream may have run the request.
	mayHaveRun bool
	// partial is set once a part of an answer has been sent that another upstream
	// could not continue.
	partial bool
	// lastEvent is the ID of the last event that the caller has, or -1.
	lastEvent int64
	// numbering tells how the events relayed so far were numbered.
	numbering numbering
	// reserved is what the next attempt uses, or nil if that is not certain to be made.
	reserved *reservation
	// upstream is the upstream of the latest attempt.
	upstream serving.Upstream
	// process is the process of that upstream before the attempt was sent.
	process process
	// predicted is the time to the first event that was predicted for the latest
	// attempt.
	predicted time.Duration
	// predictedHigh is a high quantile of it; predictedPause and predictedPauseHigh are those
	// of the longest pause. They are 0 where these are not predicted.
	predictedHigh, predictedPause, predictedPauseHigh time.Duration
	// slowdown is the slowdown of the chosen upstream's host, or 0 if that is unknown.
	slowdown float64
	// unreadTokens and running are the prompt tokens that the chosen upstream had yet
	// to process, and the requests that it was running, before this one was sent.
	unreadTokens, running int
	// limited is set if the latest attempt's upstream had stated a limit when the attempt
	// was sent, and limit is that limit.
	limited bool
	limit   float64
	// firstEvent is the time from the request's arrival until an upstream began to
	// answer.
	firstEvent time.Duration
	// writingSince is when the first event of the latest attempt arrived; zero if none has.
	// It is written under the gateway's mu.
	writingSince time.Time
	// sentAt is when the latest attempt was sent, in true time. partsRecorded is set once
	// that attempt has cleared the parts of the prompt.
	sentAt        time.Time
	partsRecorded bool
	// crashProbe is closed at the end of the probe of the latest attempt's upstream, or
	// nil if none is under way.
	crashProbe chan struct{}
	// longestPause is the longest time between two relayed events, and lastEventAt the
	// time of the latest one.
	longestPause time.Duration
	lastEventAt  time.Time
	// gaps counts the gaps between the events of the latest attempt's stream, and longGaps
	// those over gapThreshold.
	gaps, longGaps int
	gapThreshold   time.Duration
	// rollout is the rollout of the service when the latest attempt was sent, or nil, and
	// counted is set once the latency of that attempt is counted for it.
	rollout *serviceRollout
	counted bool
	// notRun is the proof that the latest attempt has not run, if there is one.
	notRun notrun.Proof
	// end is what the upstream has said after the end of an answer that needs it, for the log.
	end string
	// reason is why the latest failed attempt failed, and detail is an error text for
	// the log.
	reason reason.Reason
	// usageCounted is set once the request is counted in its customer's usage.
	usageCounted bool
	detail       string
}

// attemptResult is the result of one attempt.
type attemptResult int

const (
	// delivered: the caller has received the whole answer.
	delivered attemptResult = iota
	// notRun: the upstream declined the request, or received nothing of it.
	notRun
	// broken: the attempt failed, and the upstream may have run the request.
	broken
	// callerGone: the caller disconnected, or the deadline passed.
	callerGone
	// serverError: the upstream answered with a 5xx status. The answer is kept, to be
	// relayed if no further attempt succeeds.
	serverError
)

// forward sends a request to one upstream after another until one answers it or no
// further attempt is allowed.
func (g *Gateway) forward(ctx context.Context, r *request) {
	var buffered *bufferedAnswer
	defer g.releaseReserved(r)
	for {
		choice, refused := g.pickUpstream(r)
		if refused != nil {
			g.finish(r, buffered, refused)
			return
		}
		result, answer := g.attempt(ctx, r, choice)
		if answer != nil {
			buffered = answer
		}
		switch {
		case result == delivered:
			r.reply.end()
			g.logRequest(r, "answered", r.reply.status, r.progress.reason)
			return
		case result == callerGone || ctx.Err() != nil:
			g.abandon(r, buffered)
			return
		case result == broken:
			g.awaitCrashProbe(ctx, r)
		}
		if refused := g.poisonRefusal(r); refused != nil {
			g.finish(r, buffered, refused)
			return
		}
		if !g.mayRetry(r, result) {
			g.finish(r, buffered, g.unservedRefusal(r))
			return
		}
		g.metrics.retried[r.progress.reason].Inc(1)
	}
}

// mayRetry decides whether a request may be sent to another upstream. If so, it takes a
// retry from the service's budget, unless one is reserved.
func (g *Gateway) mayRetry(r *request, result attemptResult) bool {
	p := &r.progress
	switch {
	case p.reserved != nil:
		return true
	case p.partial, result == notRun && p.declined >= maxDeclined:
		return false
	case result != notRun && (!r.route.Repeatable() || p.attempts >= r.route.MaxAttempts):
		return false
	case p.mayHaveRun && !r.route.Repeatable():
		return false
	case time.Until(r.deadline) < silence.MinRemaining:
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.retryBudget(r.service.Name).Take(time.Now(), g.entryCount()) {
		g.metrics.refused[reason.RetryBudget].Inc(1)
		return false
	}
	return true
}

// attempt sends a request to one upstream and relays the answer. The returned answer is
// nil unless it was buffered.
func (g *Gateway) attempt(ctx context.Context, r *request, choice placement.Choice) (attemptResult, *bufferedAnswer) {
	p := &r.progress
	p.upstream, p.notRun = choice.Upstream, notrun.None
	p.process = process{choice.Upstream, g.processStarts.current(choice.Upstream), r.service, time.Now()}
	p.tried = append(p.tried, choice.Upstream.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ticket := g.startAttempt(r, choice, cancel)
	defer g.forgetAttempt(r)
	result, answer := g.runAttempt(ctx, r, choice, ticket)
	g.countAttemptEnd(r, result)
	if result == callerGone && errors.Is(context.Cause(ctx), errDeadlyPart) {
		return broken, answer
	}
	return result, answer
}

// runAttempt is attempt after its start has been recorded.
func (g *Gateway) runAttempt(ctx context.Context, r *request, choice placement.Choice, ticket *placement.Ticket) (attemptResult, *bufferedAnswer) {
	p := &r.progress
	sent := time.Now()
	answer, head, err := g.send(ctx, r, choice)
	if err != nil {
		return g.handleSendError(ctx, r, ticket, err), nil
	}
	defer answer.Close()
	g.applyUpstreamState(choice.Upstream, head, p.sentAt)
	g.applyLimit(choice.Upstream, head, sent)
	g.reportUnknownHeader(choice.Upstream, head)
	if answer.NotRun != notrun.None {
		return g.handleDeclined(r, ticket, answer), nil
	}
	p.attempts++
	p.mayHaveRun = true
	return g.relay(ctx, r, ticket, answer, head)
}

// applyUpstreamState records the load, the shutdown notice and the pause request that
// an upstream sends in the headers of its answer to a request that was sent at a time.
func (g *Gateway) applyUpstreamState(u serving.Upstream, head platform.UpstreamHeaders, sent time.Time) {
	now := time.Now()
	g.mu.Lock()
	g.suspicions.Answered(u.ID, sent)
	if load := head.Load; load != nil {
		g.table.ReportRequests(now, u.ID, load.Running+load.Waiting)
		g.table.ReportSlowdown(now, u.ID, load.Percent/100)
	}
	leaving := head.Leaving && g.table.MarkLeaving(u)
	backsOff := head.RetryAfter > 0 && g.table.Pause(now, u, head.RetryAfter)
	g.mu.Unlock()
	if leaving {
		g.metrics.changed[upstreamLeaving].Inc(1)
		g.log.Info("upstream announced that it is leaving", "upstream", u.ID, "address", u.Address, "born", u.StartMillis)
	}
	if backsOff {
		g.metrics.changed[upstreamRests].Inc(1)
		g.log.Info("upstream asked for a pause", "upstream", u.ID, "for", head.RetryAfter)
	}
}

// reportUnknownHeader counts answers in which an upstream tells something about its state
// that this version can't read, and logs the first one of each header.
func (g *Gateway) reportUnknownHeader(u serving.Upstream, head platform.UpstreamHeaders) {
	if head.Unknown == "" {
		return
	}
	g.metrics.unknownHeaders.Inc(1)
	g.mu.Lock()
	isNew := !g.unknownHeaders[head.Unknown] && len(g.unknownHeaders) < maxUnknownHeaders
	if isNew {
		g.unknownHeaders[head.Unknown] = true
	}
	g.mu.Unlock()
	if isNew {
		g.log.Warn("upstream sent an unknown header", "upstream", u.ID, "header", head.Unknown)
	}
}

// startAttempt records an attempt that is about to be sent and that cancel ends.
func (g *Gateway) startAttempt(r *request, choice placement.Choice, cancel context.CancelCauseFunc) *placement.Ticket {
	now := time.Now()
	g.gossipLargePrompt(choice.Load.PrefillTokens)
	g.mu.Lock()
	defer g.mu.Unlock()
	r.progress.writingSince, r.progress.partsRecorded, r.progress.sentAt = time.Time{}, false, g.trueTime()
	if r.Prompt != nil {
		g.promptAttempts[r] = cancel
	}
	if r.progress.attempts == 0 && r.progress.declined == 0 {
		g.retryBudget(r.service.Name).RecordFirstAttempt(now)
	}
	g.countAttempt(r)
	ticket := g.table.Start(now, choice, r.Prompt)
	r.progress.gaps, r.progress.longGaps, r.progress.gapThreshold = 0, 0, g.table.PauseThreshold(ticket)
	return ticket
}

// forgetAttempt removes an attempt from those that can be canceled.
func (g *Gateway) forgetAttempt(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.promptAttempts, r)
}

// endAttempt records the outcome of an attempt.
func (g *Gateway) endAttempt(t *placement.Ticket, outcome placement.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(time.Now(), t, outcome)
}

// send sends a request to an upstream and waits for the status and headers of its
// answer. It accepts an answer with the request's ID, or one without an ID that declines
// the request, unless that may belong to another one or the request may run once; answers to
// other requests on the connection are skipped.
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
		Body: r.body, HasBody: r.http.ContentLength != 0 || r.body != nil, ID: r.RequestID,
		// Answers to requests without an ID can't be told from each other.
		NewConnection: r.RequestID == "",
		NamedRefusals: r.RequestID != "" && !r.route.Repeatable(),
		CheckHead: func(status int, h http.Header) exchange.HeadCheck {
			head = platform.DecodeAnswer(status, h)
			anonymous := head.RequestID == "" && head.NotRun
			return exchange.HeadCheck{
				Matches: head.RequestID == r.RequestID || anonymous, NotRun: head.NotRun, Anonymous: anonymous, KeepAlive: head.KeepAlive,
			}
		},
		MaxIdle:     maxConnectionIdle(r),
		HeadTimeout: headTimeout(r, choice.Predicted),
		OnSilence:   g.onSilence(r, r.progress.attempts+1),
	})
	return answer, head, err
}

// maxConnectionIdle returns the longest idle time of a connection that the request may
// reuse; 0 means no limit. An upstream may have closed a connection that was idle for
// long, and then it is unknown whether it ran a request sent on it.
func maxConnectionIdle(r *request) time.Duration {
	if r.route.Repeatable() {
		return 0
	}
	return nonRepeatableMaxIdle
}

// handleSendError records and classifies an attempt that got no answer.
func (g *Gateway) handleSendError(ctx context.Context, r *request, t *placement.Ticket, err error) attemptResult {
	p := &r.progress
	p.detail = err.Error()
	var ex *exchange.Error
	sent := errors.As(err, &ex) && ex.Sent
	if sent {
		p.attempts++
		p.mayHaveRun = true
	}
	if !sent {
		g.recordNotRun(r, notrun.NotSent)
	}
	if ctx.Err() != nil {
		g.endAttempt(t, placement.Abandoned)
		return callerGone
	}
	var outcome placement.Outcome
	outcome, p.reason = classifySendError(err)
	g.endAttempt(t, outcome)
	g.logFailedAttempt(r, "attempt failed")
	if sent {
		g.suspectCrash(r, err)
		return broken
	}
	p.declined++
	return notRun
}

// classifySendError maps the error of an attempt without an answer to the outcome that is
// recorded for its upstream and the reason that is logged and counted.
func classifySendError(err error) (placement.Outcome, reason.Reason) {
	var ex *exchange.Error
	switch {
	case errors.Is(err, exchange.ErrAmbiguous):
		return placement.Declined, reason.UnnamedRefusal
	case errors.As(err, &ex) && ex.Step == "connect":
		return placement.Unreachable, reason.ConnectFailed
	case errors.Is(err, exchange.ErrInvalidStatus):
		return placement.Failed, reason.InvalidStatus
	case errors.Is(err, exchange.ErrTooLong):
		return placement.Unreachable, reason.AnswerTooLong
	}
	return placement.Unreachable, reason.NoAnswer
}

// recordNotRun records what proves that an attempt has not run.
func (g *Gateway) recordNotRun(r *request, proof notrun.Proof) {
	r.progress.notRun = proof
	g.metrics.notRun[proof].Inc(1)
}

// handleDeclined handles an answer in which the upstream states that it has not run the
// request.
func (g *Gateway) handleDeclined(r *request, t *placement.Ticket, answer *exchange.Answer) attemptResult {
	p := &r.progress
	p.declined++
	g.recordNotRun(r, answer.NotRun)
	p.reason = reason.UpstreamBusy
	p.detail = http.StatusText(answer.Status)
	g.drain(answer)
	g.endAttempt(t, placement.Declined)
	g.logFailedAttempt(r, "upstream declined")
	return notRun
}

// customerName returns the name of the request's customer, or "" for anonymous routes.
func customerName(r *request) string {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// urgency maps the request's priority to the range of the urgency header.
func urgency(r *request) int {
	return min(max(priorityOf(r.route, r.customer), 0), lowestUrgency)
}
