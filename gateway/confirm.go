package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"jaylink/decision/answer"
	"jaylink/platform"
	"jaylink/upstream/exchange"
)

// Defaults of confirmTimeouts.
const (
	// confirmTimeout is how long an upstream is asked whether its process has outlived the end
	// of an answer, and shortConfirmTimeout if another upstream goes on with the request.
	confirmTimeout      = time.Second
	shortConfirmTimeout = 250 * time.Millisecond
)

// confirmPause is the first pause between two calls for the state of an upstream; it doubles.
const confirmPause = 20 * time.Millisecond

// confirmTimeouts are the times for which the end of an answer may be in doubt.
type confirmTimeouts struct {
	// last is the longest time, and other the time after which another upstream is looked for.
	last, other time.Duration
}

// maxInquiries bounds the inquiries to one process that are under way at the same time.
const maxInquiries = 4

// inquiry is the question to an upstream whether its process still runs. It serves all ends of
// answers that were there before it began.
type inquiry struct {
	ctx    context.Context
	cancel context.CancelFunc
	// done is closed once reply is there.
	done  chan struct{}
	reply answer.Inquiry
	// waiting is the number of requests that wait for the reply.
	waiting int
	// begun is set once the question is under way.
	begun bool
	// sent is when the first of the requests was sent whose ends this inquiry, or an earlier one that
	// it may finish, is about.
	sent time.Time
}

// inquiries holds the inquiries to each process of an upstream, the oldest first. At most the
// latest has not begun.
type inquiries struct {
	mu     sync.Mutex
	active map[uint64][]*inquiry
}

// join returns the inquiry that the end of the answer to a request has to wait for, and whether the
// caller has to run it. sent is when that request was sent.
func (s *inquiries) join(instance uint64, sent time.Time) (q *inquiry, begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.active[instance]
	n := len(list)
	if n > 0 {
		sent = earlier(sent, list[n-1].sent)
	}
	if n > 0 && !list[n-1].begun {
		q = list[n-1]
		q.sent = sent
	} else {
		q = newInquiry(sent)
		q.begun = n < maxInquiries
		s.active[instance] = append(list, q)
		begins = q.begun
	}
	q.waiting++
	return q, begins
}

func newInquiry(sent time.Time) *inquiry {
	ctx, cancel := context.WithCancel(context.Background())
	return &inquiry{ctx: ctx, cancel: cancel, done: make(chan struct{}), sent: sent}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// leave ends an inquiry that nobody waits for any more. One that has not begun waits for its
// turn: others may still join it.
func (s *inquiries) leave(q *inquiry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.waiting--
	if q.waiting == 0 && q.begun {
		q.cancel()
	}
}

// finish gives the reply to those who wait for it, and returns the inquiry that the caller has to
// run next, or nil. It is given to earlier inquiries, too, if it shows how their ends came about.
func (s *inquiries) finish(instance uint64, q *inquiry, reply answer.Inquiry) *inquiry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.active[instance]
	i := slices.Index(list, q)
	if i < 0 {
		// A later inquiry has finished this one.
		return nil
	}
	first := i
	if reply.ShowsEarlier() {
		first = 0
	}
	for _, finished := range list[first : i+1] {
		finished.reply = reply
		close(finished.done)
		finished.cancel()
	}
	list = slices.Delete(list, first, i+1)
	if len(list) == 0 {
		delete(s.active, instance)
		return nil
	}
	s.active[instance] = list
	last := list[len(list)-1]
	if last.begun {
		return nil
	}
	last.begun = true
	if last.waiting == 0 {
		last.cancel()
	}
	return last
}

// processAfterEnd returns what the process of a request's upstream says after the end of its
// answer. That is unknown after a timeout, and once the request is certain to go on elsewhere.
func (g *Gateway) processAfterEnd(ctx context.Context, r *request) answer.Inquiry {
	p := r.progress.process
	q, begins := g.inquiries.join(p.started.Instance(), p.sent)
	defer g.inquiries.leave(q)
	if begins {
		go g.runInquiries(q, p)
	}
	mayMove, onSilence := silentAttempt(r, r.progress.attempts).MayMove(), g.onSilence(r, r.progress.attempts)
	pause := time.NewTimer(g.confirmTimeouts.other)
	defer pause.Stop()
	// The pauses are counted, because time also passes while this process does not run.
	for waited := g.confirmTimeouts.other; ; waited += alternativePoll {
		select {
		case <-q.done:
			return q.reply
		case <-ctx.Done():
			return answer.Inquiry{}
		case <-pause.C:
		}
		if waited >= g.confirmTimeouts.last || mayMove && onSilence() <= 0 {
			return answer.Inquiry{}
		}
		pause.Reset(alternativePoll)
	}
}

// runInquiries runs an inquiry and those that are its turn to run afterwards.
func (g *Gateway) runInquiries(q *inquiry, p process) {
	for q != nil {
		var seen answer.Inquiry
		p.sent = q.sent
		g.withRecover("inquiry", func() { g.inquire(q.ctx, p, &seen) })
		q = g.inquiries.finish(p.started.Instance(), q, seen)
	}
}

// inquire asks an upstream what it is until that tells whether its process still runs. It returns
// the time of the last call, or zero if there is nothing to call.
func (g *Gateway) inquire(ctx context.Context, p process, seen *answer.Inquiry) time.Time {
	for pause := confirmPause; ; pause *= 2 {
		asked := g.askAll(ctx, p, seen)
		if asked.IsZero() || seen.Process != answer.Unknown || !sleep(ctx, pause) {
			return asked
		}
	}
}

// askAll asks an upstream what it is, once at each path. It returns the time of the last call.
func (g *Gateway) askAll(ctx context.Context, p process, seen *answer.Inquiry) time.Time {
	var asked time.Time
	for _, target := range platform.StateTargets(p.started, p.service) {
		if !target.StatesStart {
			asked = time.Now()
			g.askKept(ctx, p, target.Path, seen)
		}
		if seen.Process != answer.Unknown {
			break
		}
		asked = time.Now()
		reply, err := g.pool.Ask(ctx, p.listed.Address, target.Path)
		g.addStatement(p, seen, reply, err, false)
		if seen.Process != answer.Unknown {
			break
		}
	}
	return asked
}

// askKept asks an upstream what it is on a connection that is older than the request, if there is
// one.
func (g *Gateway) askKept(ctx context.Context, p process, target string, seen *answer.Inquiry) {
	reply, err := g.pool.AskKept(ctx, p.listed.Address, target, p.sent)
	switch {
	case errors.Is(err, exchange.ErrNoneKept):
	case errors.Is(err, exchange.ErrKeptClosed) && !g.expectedToRun(p.listed):
		// An upstream that leaves closes its idle connections.
	default:
		g.addStatement(p, seen, reply, err, true)
	}
}

// addStatement takes the result of a call to an upstream for what it is into account. kept is set
// if the connection of the call was older than the request.
func (g *Gateway) addStatement(p process, seen *answer.Inquiry, reply exchange.Reply, err error, kept bool) {
	g.metrics.inquiries.Inc(1)
	var statement answer.Statement
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		statement.Refused = true
	case err != nil:
		g.log.Debug("upstream did not say whether it runs", "upstream", p.listed.ID, "kept_connection", kept, "err", err)
	default:
		statement = platform.DecodeState(reply.Status, reply.Header, reply.Body)
		statement.Kept = kept
		if !kept || !statement.NamesRequest {
			g.processStarts.learn(p.listed, statement.StartMillis)
		}
	}
	seen.Add(p.started, statement)
}

// checkEnd returns an error unless an answer that has been read to its end is known to be whole.
// Only its upstream can show that if the answer ends with its connection.
func (g *Gateway) checkEnd(ctx context.Context, r *request, a *exchange.Answer) error {
	end := answer.End{Delimited: a.Delimited}
	if !end.Delimited {
		end.RequestWritten = a.RequestWritten()
	}
	if end.NeedsProcess() {
		seen := g.processAfterEnd(ctx, r)
		end.Process, r.progress.end = seen.Process, seen.String()
	}
	if end.Whole() {
		return nil
	}
	return fmt.Errorf("%w: %s", exchange.ErrUnconfirmedEnd, end)
}
