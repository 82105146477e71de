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
	// connections and ending the process. In maxAnswerPolls of it the requests that are still
	// running are answered, and in closeTime the connections are closed.
	exitSlack = 400 * time.Millisecond
	closeTime = 100 * time.Millisecond
	// idlePoll is how often it is checked whether connections are in use. Waits for callers
	// are counted in polls, because time also passes while the process does not run.
	idlePoll       = 10 * time.Millisecond
	maxAnswerPolls = 15
	// maxPartPolls bounds the wait for requests of which only a part has been received.
	maxPartPolls = 100
)

// Stop shuts the gateway down gracefully. It reports the entry as not ready, keeps
// serving until the platform sends no more callers, and then refuses new connections, and
// what still comes on open ones, until the requests in flight have ended. Requests that are
// still running when the grace time is nearly over are given up: their callers get a failure,
// or see that their stream is broken off.
func (g *Gateway) Stop(context.Context) error {
	g.stopping.Store(true)
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.settings.Bounds.Grace-exitSlack))
	defer cancel()
	g.log.Info("stopping", "in_flight", g.inFlight.Load())
	if g.gossip != nil {
		// Announce to the peers that this entry is leaving.
		g.gossipRound(newGossipSchedule())
	}
	sleep(ctx, unreadyDelay)
	g.refuseCallers()
	g.awaitCallers(ctx)
	cutOff := g.inFlight.Load()
	g.giveUp()
	for polls := 0; g.callers.closeUnused() > 0 && polls < maxAnswerPolls; polls++ {
		sleep(context.Background(), idlePoll)
	}
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
	if g.front == nil {
		return
	}
	if err := g.front.closeAccepted(); err != nil {
		g.log.Warn("closing the listener failed", "err", err)
	}
}

// awaitCallers waits until nothing is under way on any connection and closes them, or until
// ctx ends. Requests of which only a part has been received are not waited for that long.
func (g *Gateway) awaitCallers(ctx context.Context) {
	for polls := 0; polls < maxPartPolls; {
		if g.inFlight.Load() == 0 {
			if g.callers.closeUnused() == 0 {
				return
			}
			polls++
		}
		if !sleep(ctx, idlePoll) {
			return
		}
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
