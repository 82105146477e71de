package entry

import (
	"context"
	"sync"
	"time"

	"jaylink/decision"
	"jaylink/decision/retry"
	"jaylink/upstream"
)

// watchdog cancels an attempt that makes no progress.
type watchdog struct {
	cancel context.CancelFunc
	limits retry.Limits

	mu       sync.Mutex
	timer    *time.Timer
	progress bool
	fired    bool
	stopped  bool
}

// watch starts a watchdog. It must be stopped.
func watch(cancel context.CancelFunc, limits retry.Limits) *watchdog {
	w := &watchdog{cancel: cancel, limits: limits}
	w.arm(limits.FirstByte)
	return w
}

// arm starts the timer anew; the caller holds the lock or is the only user.
func (w *watchdog) arm(d time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if d > 0 {
		w.timer = time.AfterFunc(d, w.fire)
	}
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.fired = true
		w.cancel()
	}
}

// advanced notes that a piece of the answer came.
func (w *watchdog) advanced() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.progress = true
	if w.timer != nil && w.limits.Idle > 0 && w.timer.Reset(w.limits.Idle) {
		return
	}
	w.arm(w.limits.Idle)
}

// stop ends the watch and says how the attempt ended: one that the watchdog
// canceled gave no answer, or broke off.
func (w *watchdog) stop(res upstream.Result) upstream.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if !w.fired || res.Outcome != decision.OutcomeCanceled {
		return res
	}
	res.Outcome = decision.OutcomeNoAnswer
	if w.progress {
		res.Outcome = decision.OutcomeBroken
	}
	return res
}
