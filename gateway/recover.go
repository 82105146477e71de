package gateway

import (
	"fmt"
	"runtime/debug"
)

// withRecover calls f to handle one message from outside the process and recovers from a
// panic in it, so that one malformed message does not end the process and its streams.
// f must release its locks with defer.
func (g *Gateway) withRecover(step string, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			g.metrics.panics.Inc(1)
			g.log.Error("panic while handling a message", "step", step, "err", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	f()
}
