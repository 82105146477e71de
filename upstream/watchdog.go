package upstream

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errStalled means that an upstream sent no data within the timeout.
var errStalled = errors.New("upstream sent no data within the timeout")

// silencePoll is how often a watchdog asks whether a silent call is to be given up.
const silencePoll = 100 * time.Millisecond

// watchdog cancels a call if the upstream sends no data within a timeout. It detects
// upstreams that are frozen, whose connections stay open.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelFunc
	// onSilence, if set, is asked at the timeout whether the call is given up.
	onSilence func() bool

	mu    sync.Mutex
	timer *time.Timer
	// round counts the calls of reset.
	round int
	fired bool
}

// newWatchdog starts a watchdog for a call with ctx. A timeout of 0 means none. The
// call must use the watchdog's ctx.
func newWatchdog(ctx context.Context, timeout time.Duration, onSilence func() bool) *watchdog {
	w := &watchdog{onSilence: onSilence}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.reset(timeout)
	return w
}

// reset restarts the watchdog with a timeout from now.
func (w *watchdog) reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.round++
	if w.timer != nil {
		w.timer.Stop()
	}
	if timeout > 0 {
		w.start(timeout)
	}
}

// start starts the timer of the current round. The caller holds mu.
func (w *watchdog) start(timeout time.Duration) {
	round := w.round
	w.timer = time.AfterFunc(timeout, func() { w.expire(round) })
}

// expire cancels the call if it is given up, and looks again later otherwise.
func (w *watchdog) expire(round int) {
	givesUp := w.onSilence == nil || w.onSilence()
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case round != w.round:
		// Data has come in the meantime.
	case givesUp:
		w.fired = true
		w.cancel()
	default:
		w.start(silencePoll)
	}
}

// expired reports whether the watchdog canceled the call.
func (w *watchdog) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}

// stop releases the resources of the watchdog after the call.
func (w *watchdog) stop() {
	w.reset(0)
	w.cancel()
}
