package gateway

import (
	"fmt"
	"runtime/debug"
)

// survive handles one message from outside. A panic ends only its handling, so that
// one odd message does not take the process and its streams down. What f locks it
// has to unlock by defer.
func (g *Gateway) survive(step string, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			g.metrics.panics.Inc(1)
			g.log.Error("message could not be handled", "step", step, "err", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	f()
}
