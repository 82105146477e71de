package gateway

import (
	"context"
	"errors"
	"time"
)

const (
	// noticeTime is how long the platform takes to notice that an entry is not
	// ready: two of its calls, one a second, and a little more.
	noticeTime = 2600 * time.Millisecond
	// killSlack is left of the grace time for the end of the process.
	killSlack = 400 * time.Millisecond
)

// Stop ends the process without cutting off a request: it says that the entry is
// not ready, goes on until the platform sends no more callers, and then until
// the requests in flight have ended or the grace time is nearly over.
func (g *Gateway) Stop(context.Context) error {
	g.stopping.Store(true)
	begun := time.Now()
	g.log.Info("stopping", "in_flight", g.inFlight.Load())
	if g.gossip != nil {
		g.tellTurn(newTelling())
	}
	grace := g.settings.Bounds.Grace - killSlack
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	sleep(ctx, noticeTime)
	var errs []error
	for _, server := range g.servers {
		// What is cut off when the time is over is counted below.
		if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
			errs = append(errs, err)
		}
	}
	cut := g.inFlight.Load()
	for _, server := range g.servers {
		errs = append(errs, server.Close())
	}
	g.cancel()
	g.tasks.Wait()
	g.pool.Close()
	g.log.Info("stopped", "cut_off", cut, "after", time.Since(begun))
	return errors.Join(errs...)
}
