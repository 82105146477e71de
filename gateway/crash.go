package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"jaylink/decision/poison"
	"jaylink/serving"
)

const (
	// crashLookTime bounds the look at an upstream whose connection broke, and
	// crashLookPause is the pause between two tries to connect: a process that is
	// just ending resets new connections before it refuses them.
	crashLookTime  = 250 * time.Millisecond
	crashLookPause = 20 * time.Millisecond
)

// connectionLost reports whether an exchange ended because its connection did, and
// not by a bound of this entry.
func connectionLost(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// suspectCrash looks in the background whether the upstream of a broken attempt has
// crashed. One that was leaving has not.
func (g *Gateway) suspectCrash(r *request, err error) {
	u := r.progress.upstream
	if !connectionLost(err) || !g.listedReady(u) {
		return
	}
	f := r.fingerprint()
	g.mu.Lock()
	if g.table.Leaving(u) {
		g.mu.Unlock()
		return
	}
	now := g.trueTime()
	look, crashed := g.suspicions.Broke(now, u.ID, f)
	g.mu.Unlock()
	switch {
	case look:
		go g.withRecover("crash look", func() { g.lookAtUpstream(u) })
	case crashed:
		g.takeCrashes(g.settings.Name, []poison.Crash{{Fingerprint: f, Upstream: u.ID, At: now}})
	}
}

// listedReady reports whether an upstream is listed and not leaving.
func (g *Gateway) listedReady(u serving.Upstream) bool {
	list := g.upstreams.Load()
	if list == nil {
		return false
	}
	listed, ok := list.list[u.ID]
	return ok && !listed.Draining
}

// lookAtUpstream finds out whether an upstream has crashed: it refuses connections.
// No answer proves nothing, as its availability zone may be cut off.
func (g *Gateway) lookAtUpstream(u serving.Upstream) {
	crashed := refusesConnections(u.Address)
	g.mu.Lock()
	crashes := g.suspicions.Looked(u.ID, crashed)
	g.mu.Unlock()
	if crashed {
		g.metrics.crashes.Inc(1)
	}
	g.takeCrashes(g.settings.Name, crashes)
}

func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashLookTime)
	defer cancel()
	var dialer net.Dialer
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case err == nil:
			// Nothing was sent on it; how it closes does not matter.
			_ = c.Close()
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		sleep(ctx, crashLookPause)
	}
	return false
}
