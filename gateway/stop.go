package gateway

import (
	"context"
	"errors"
	"time"
)

const (
	// unreadyDelay is how long the platform takes to notice that an entry is not
	// ready: two readiness probes, one a second, and some margin.
	unreadyDelay = 2600 * time.Millisecond
	// exitSlack is the part of the grace time that is reserved for closing
	// connections and ending the process.
	exitSlack = 400 * time.Millisecond
)

// Stop shuts the gateway down gracefully. It reports the entry as not ready, keeps
// serving until the platform sends no more callers, and then waits for the requests in
// flight to end. Requests that are still running when the grace time is nearly over are
// cut off, counted and logged.
func (g *Gateway) Stop(context.Context) error {
	g.stopping.Store(true)
	began := time.Now()
	g.log.Info("stopping", "in_flight", g.inFlight.Load())
	if g.gossip != nil {
		// Announce to the peers that this entry is leaving.
		g.gossipRound(newGossipSchedule())
	}
	grace := g.settings.Bounds.Grace - exitSlack
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	sleep(ctx, unreadyDelay)
	var errs []error
	for _, server := range g.servers {
		// Requests that are still running at the deadline are counted below.
		if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
			errs = append(errs, err)
		}
	}
	cutOff := g.inFlight.Load()
	for _, server := range g.servers {
		errs = append(errs, server.Close())
	}
	g.cancel()
	g.tasks.Wait()
	g.pool.Close()
	g.log.Info("stopped", "cut_off", cutOff, "after", time.Since(began))
	return errors.Join(errs...)
}
