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
	// finalAnswerTimeout is how long callers of requests that were given up
	// at the end of the drain are given to read their final answer.
	finalAnswerTimeout = 2 * time.Second
	// reclaimLeaveShare is the share of the time before a reclaim that the
	// leave delay may take.
	reclaimLeaveShare = 4
)

// reclaims has the hosts of which a reclaim notice was seen.
type reclaims struct {
	mu    sync.Mutex
	hosts map[string]time.Time
}

func newReclaims() *reclaims { return &reclaims{hosts: map[string]time.Time{}} }

// reclaimMemory is how long after its deadline a notice counts; a host of the
// same name may come back.
const reclaimMemory = time.Minute

// add notes a notice; it returns false if that is known already.
func (r *reclaims) add(host string, deadline time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for h, d := range r.hosts {
		if time.Since(d) > reclaimMemory {
			delete(r.hosts, h)
		}
	}
	known := r.hosts[host].Equal(deadline)
	r.hosts[host] = deadline
	return !known
}

func (r *reclaims) has(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	deadline, ok := r.hosts[host]
	return ok && time.Since(deadline) < reclaimMemory
}

// host returns the name of the entry's host.
func (e *Entry) host() string {
	if e.settings.Host != "" {
		return e.settings.Host
	}
	return e.settings.Name
}

// noticedEntry takes a reclaim notice: of this entry's host, or of a peer's,
// which then gets no requests. A notice whose deadline has passed was for an
// earlier host of the same name.
func (e *Entry) noticedEntry(host string, deadline time.Time) {
	fresh := e.reclaims.add(host, deadline)
	if host != e.host() || !fresh || time.Until(deadline) <= 0 {
		return
	}
	e.decisions.add(operator.Decision{Kind: operator.DecisionReclaimed, Detail: "deadline=" + deadline.UTC().Format(time.RFC3339)})
	e.log.Info("this host is being reclaimed", "step", "reclaim", "deadline", deadline)
	e.work.Go(func() { e.evacuate(e.background, deadline) })
}

// evacuate takes the entry out of service before a deadline. The balancer and the
// peers are told first, and copies of what is in flight go to peers; requests
// go on being accepted for the leave delay. What will not end in time is handed
// over. It returns when nothing is in flight any more, or at the deadline.
func (e *Entry) evacuate(ctx context.Context, deadline time.Time) {
	e.leaving.Store(true)
	e.peers.SetLeaving()
	delay := min(e.settings.Drain.LeaveDelay.Std(), max(time.Until(deadline), 0)/reclaimLeaveShare)
	e.log.Info("entry leaving", "leave_delay", delay, "deadline", deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ev := e.newEvacuation(deadline)
	ev.run(ctx, delay)
}

// Stop implements kernel.Stopper: a graceful shutdown. What is still in flight
// at the end of the drain timeout and could not be handed over gets a final
// answer.
func (e *Entry) Stop(ctx context.Context) error {
	deadline := time.Now().Add(e.settings.Drain.LeaveDelay.Std() + e.settings.Drain.Timeout.Std())
	e.evacuate(ctx, deadline)
	err := e.finishAll(ctx)
	storing, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err = errors.Join(err, e.storeOutcomes(storing))
	ctx, cancel = context.WithTimeout(ctx, finalAnswerTimeout)
	defer cancel()
	e.shutdown(ctx)
	return err
}

// finishAll gives a final answer to what is in flight.
func (e *Entry) finishAll(ctx context.Context) error {
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

// storeOutcomes waits until the outcomes of claimed work are stored.
func (e *Entry) storeOutcomes(ctx context.Context) error {
	n, stored := e.claims.stored()
	select {
	case <-stored:
		return nil
	case <-ctx.Done():
		return oops.In("entry").With("step", "drain").Errorf("%d outcomes were not stored at the end of the drain timeout", n)
	}
}

// closeWhenLeaving has callers open a new connection for their next call once
// the entry is leaving, so that none sends a call into a connection that is
// about to be closed.
func (e *Entry) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) shutdown(ctx context.Context) {
	if err := e.caller.Shutdown(ctx); err != nil {
		e.log.Warn("callers were cut off", "step", "shutdown", "err", err)
		_ = e.caller.Close()
	}
	_ = e.operator.Close()
	e.cancel()
	e.peers.Close()
	e.driver.stop()
	e.work.Wait()
	e.closeTrace()
	e.platform.Close()
	e.upstreams.Close()
	e.log.Info("entry stopped")
}
