package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"jaylink/decision"
	"jaylink/operator"
)

const (
	// finalAnswerTimeout is how long the callers of requests that were
	// abandoned at the end of the drain have to read their final answer.
	finalAnswerTimeout = 2 * time.Second
	// leaveDelayDivisor limits the leave delay to a fraction of the time
	// left before a reclaim.
	leaveDelayDivisor = 4
)

// reclaimNotices holds the deadlines of the reclaim notices that were received,
// by host.
type reclaimNotices struct {
	mu    sync.Mutex
	hosts map[string]time.Time
}

func newReclaimNotices() *reclaimNotices { return &reclaimNotices{hosts: map[string]time.Time{}} }

// reclaimNoticeRetention is how long a notice applies after its deadline. It is
// limited because a new host may get the same name.
const reclaimNoticeRetention = time.Minute

// add stores a notice. It returns false if the notice was already known.
func (r *reclaimNotices) add(host string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, until := range r.hosts {
		if time.Since(until) > reclaimNoticeRetention {
			delete(r.hosts, name)
		}
	}
	known := r.hosts[host].Equal(deadline)
	r.hosts[host] = deadline
	return !known
}

func (r *reclaimNotices) has(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	deadline, ok := r.hosts[host]
	return ok && time.Since(deadline) < reclaimNoticeRetention
}

// host returns the name of the host that this entry runs on.
func (e *Entry) host() string {
	if e.settings.Host != "" {
		return e.settings.Host
	}
	return e.settings.Name
}

// handleEntryReclaim handles a reclaim notice for the host of this entry or of
// a peer, which then gets no more requests. A notice whose deadline has passed
// was meant for an earlier host of the same name.
func (e *Entry) handleEntryReclaim(host string, deadline time.Time) {
	isNew := e.reclaims.add(host, deadline)
	if host != e.host() || !isNew || time.Until(deadline) <= 0 {
		return
	}
	e.decisions.add(operator.Decision{Kind: operator.DecisionReclaimed, Detail: "deadline=" + deadline.UTC().Format(time.RFC3339)})
	e.log.Info("this host is being reclaimed", "step", "reclaim", "deadline", deadline)
	e.work.Go(func() { e.evacuate(e.background, deadline) })
}

// evacuate takes the entry out of service before a deadline. It first informs
// the load balancer and the peers, and copies the requests in flight to peers.
// New requests are accepted until the leave delay has passed. Requests that
// will not end in time are handed over. evacuate returns when nothing is in
// flight any more, or at the deadline.
func (e *Entry) evacuate(ctx context.Context, deadline time.Time) {
	e.leaving.Store(true)
	e.peers.SetLeaving()
	delay := min(e.settings.Drain.LeaveDelay.Std(), max(time.Until(deadline), 0)/leaveDelayDivisor)
	e.log.Info("entry leaving", "leave_delay", delay, "deadline", deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ev := e.newEvacuation(deadline)
	ev.run(ctx, delay)
}

// Stop implements kernel.Stopper with a graceful shutdown. Requests that are
// still in flight at the end of the drain timeout and could not be handed over
// get a final answer.
func (e *Entry) Stop(ctx context.Context) error {
	deadline := time.Now().Add(e.settings.Drain.LeaveDelay.Std() + e.settings.Drain.Timeout.Std())
	e.evacuate(ctx, deadline)
	err := e.finishInFlight(ctx)
	storeCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err = errors.Join(err, e.waitForOutcomes(storeCtx))
	ctx, cancel = context.WithTimeout(ctx, finalAnswerTimeout)
	defer cancel()
	e.shutdown(ctx)
	return err
}

// finishInFlight gives all requests in flight a final answer.
func (e *Entry) finishInFlight(ctx context.Context) error {
	n, idle := e.records.inFlight()
	if n == 0 {
		return nil
	}
	e.driver.step(decision.StopEvent{})
	select {
	case <-idle:
	case <-time.After(finalAnswerTimeout):
	case <-ctx.Done():
	}
	return oops.In("entry").With("step", "drain").Errorf("%d requests were in flight at the end of the drain timeout", n)
}

// waitForOutcomes waits until the outcomes of requests with claims are stored.
func (e *Entry) waitForOutcomes(ctx context.Context) error {
	n, stored := e.claims.pendingOps()
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return oops.In("entry").With("step", "drain").Errorf("%d outcomes were not stored at the end of the drain timeout", n)
	}
}

// closeWhenLeaving asks callers to open a new connection for their next request
// once the entry is leaving, so that none sends a request on a connection that
// is about to be closed.
func (e *Entry) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// shutdownServer stops a server once the requests it is answering have ended, or ctx has.
func (e *Entry) shutdownServer(ctx context.Context, name string, s *http.Server) {
	if err := s.Shutdown(ctx); err != nil {
		e.log.Warn(name+" connections closed by force", "step", "shutdown", "err", err)
		_ = s.Close()
	}
}

func (e *Entry) shutdown(ctx context.Context) {
	e.shutdownServer(ctx, "caller", e.caller)
	e.shutdownServer(ctx, "operator", e.operator)
	e.cancel()
	e.peers.Close()
	e.driver.stop()
	e.work.Wait()
	e.closeTrace()
	e.platform.Close()
	e.upstreams.Close()
	e.log.Info("entry stopped")
}
