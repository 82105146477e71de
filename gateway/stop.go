package gateway

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// unreadyDelay is how long the platform takes to notice that an entry is not
	// ready: two readiness probes, one a second, and some margin.
	unreadyDelay = 2600 * time.Millisecond
	// exitSlack is the part of the grace time that is reserved for closing
	// connections and ending the process. In answerTime of it the requests that are still
	// running are answered, and in closeTime the connections are closed.
	exitSlack  = 400 * time.Millisecond
	answerTime = 150 * time.Millisecond
	closeTime  = 100 * time.Millisecond
	// idlePoll is how often it is checked whether requests are still running.
	idlePoll = 10 * time.Millisecond
)

// Stop shuts the gateway down gracefully. It reports the entry as not ready, keeps
// serving until the platform sends no more callers, and then refuses new connections, and
// what still comes on open ones, until the requests in flight have ended. Requests that are
// still running when the grace time is nearly over are given up: their callers get a failure,
// or see that their stream is broken off.
func (g *Gateway) Stop(context.Context) error {
	g.stopping.Store(true)
	began := time.Now()
	g.log.Info("stopping", "in_flight", g.inFlight.Load())
	if g.gossip != nil {
		// Announce to the peers that this entry is leaving.
		g.gossipRound(newGossipSchedule())
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.settings.Bounds.Grace-exitSlack)
	defer cancel()
	sleep(ctx, unreadyDelay)
	g.refuseCallers()
	g.awaitRequests(ctx)
	cutOff := g.inFlight.Load()
	g.giveUp()
	answered, cancelAnswered := context.WithTimeout(context.Background(), answerTime)
	defer cancelAnswered()
	g.awaitRequests(answered)
	err := g.closeServers()
	g.cancel()
	g.tasks.Wait()
	g.pool.Close()
	g.log.Info("stopped", "cut_off", cutOff, "after", time.Since(began))
	return err
}

// refuseCallers closes the front listener and has requests on open connections refused.
func (g *Gateway) refuseCallers() {
	g.refusing.Store(true)
	if len(g.listeners) == 0 {
		return
	}
	if err := g.listeners[0].Close(); err != nil {
		g.log.Warn("closing the listener failed", "err", err)
	}
}

// awaitRequests waits until no request is in flight, or until ctx ends.
func (g *Gateway) awaitRequests(ctx context.Context) {
	for g.inFlight.Load() > 0 && sleep(ctx, idlePoll) {
	}
}

// closeServers closes the listeners and all connections. Those on which an answer is being
// sent have closeTime for it.
func (g *Gateway) closeServers() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	var errs []error
	for _, server := range g.servers {
		// That of the front has been closed before.
		for _, err := range []error{server.Shutdown(ctx), server.Close()} {
			if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
				errs = append(errs, err)
			}
		}
	}
	return errors.Join(errs...)
}
