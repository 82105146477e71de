package exchange

import (
	"context"
	"time"
)

// AfterSteps is afterSteps.
func AfterSteps(steps int, step time.Duration, f func()) (stop func()) {
	return afterSteps(steps, step, f)
}

// DialAndReset opens a connection to an upstream and resets it.
func DialAndReset(ctx context.Context, address string) error {
	c, err := dial(ctx, address)
	if err == nil {
		c.abort()
	}
	return err
}

// WriteEnded is closed once the request was written or its write has failed.
func (a *Answer) WriteEnded() <-chan struct{} { return a.write.done }
