package upstream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// errStalled means that an upstream was silent for too long.
var errStalled = errors.New("upstream is silent")

// watchdog ends a call whose upstream is silent for too long, as one that is
// frozen is: its connection stays open.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	fired  atomic.Bool
}

// newWatchdog returns a watchdog for a call under ctx; a bound of 0 means none.
func newWatchdog(ctx context.Context, bound time.Duration) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.reset(bound)
	return w
}

// reset gives the upstream another bound from now.
func (w *watchdog) reset(bound time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	if bound > 0 {
		w.timer = time.AfterFunc(bound, func() {
			w.fired.Store(true)
			w.cancel()
		})
	}
}

// expired reports whether the watchdog ended the call.
func (w *watchdog) expired() bool { return w.fired.Load() }

// stop frees the watchdog; the call has ended.
func (w *watchdog) stop() {
	w.reset(0)
	w.cancel()
}
