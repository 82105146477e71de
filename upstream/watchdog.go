package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errStalled means that an upstream sent no data within the timeout.
var errStalled = errors.New("upstream sent no data within the timeout")

// watchdog cancels a call if the upstream sends no data within a timeout. It detects
// upstreams that are frozen, whose connections stay open.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	fired  atomic.Bool
}

// newWatchdog starts a watchdog for a call with ctx. A timeout of 0 means none. The
// call must use the watchdog's ctx.
func newWatchdog(ctx context.Context, timeout time.Duration) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.reset(timeout)
	return w
}

// reset restarts the watchdog with a timeout from now.
func (w *watchdog) reset(timeout time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, func() {
			w.fired.Store(true)
			w.cancel()
		})
	}
}

// expired reports whether the watchdog canceled the call.
func (w *watchdog) expired() bool { return w.fired.Load() }

// stop releases the resources of the watchdog after the call.
func (w *watchdog) stop() {
	w.reset(0)
	w.cancel()
}
