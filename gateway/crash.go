package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"jaylink/decision/poison"
	"jaylink/serving"
	"jaylink/upstream/exchange"
)

// connectionLost reports whether an exchange failed because its connection broke, as
// opposed to a timeout or limit of this entry.
func connectionLost(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, errTruncatedEvent, errNoEvent, exchange.ErrUnconfirmedEnd, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// suspectCrash checks in the background whether the upstream of a failed attempt has
// crashed; awaitCrashProbe waits for that. It does nothing if the upstream was leaving.
func (g *Gateway) suspectCrash(r *request, err error) {
	u := r.progress.upstream
	if !connectionLost(err) || !g.expectedToRun(u) {
		return
	}
	f := r.fingerprint()
	g.mu.Lock()
	crash := poison.Crash{Fingerprint: f, Upstream: u.ID, At: g.trueTime()}
	if !r.progress.provesParts(time.Now()) {
		crash.Parts = r.sharedParts()
	}
	probe, crashed := g.suspicions.ConnectionBroken(crash)
	if probe {
		g.crashProbes[u.ID] = make(chan struct{})
	}
	done := g.crashProbes[u.ID]
	r.progress.crashProbe = done
	g.mu.Unlock()
	g.logLostConnection(r, f)
	switch {
	case probe:
		go g.withRecover("crash probe", func() { g.probeUpstream(u, done) })
	case crashed:
		g.recordCrashes(g.settings.Name, []poison.Crash{crash})
	}
}

// awaitCrashProbe waits until it is known whether the upstream of a failed attempt has
// crashed, if the request may be sent to another one.
func (g *Gateway) awaitCrashProbe(ctx context.Context, r *request) {
	probe := r.progress.crashProbe
	r.progress.crashProbe = nil
	if probe == nil || !r.route.Repeatable() || r.progress.attempts >= r.route.MaxAttempts {
		return
	}
	select {
	case <-probe:
	case <-ctx.Done():
	}
}

// expectedToRun reports whether an upstream is in the upstream list and has not announced
// that it is shutting down, neither there nor in its answers.
func (g *Gateway) expectedToRun(u serving.Upstream) bool {
	list := g.upstreams.Load()
	if list == nil {
		return false
	}
	if listed, ok := list.upstreams[u.ID]; !ok || listed.Draining {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.table.Leaving(u)
}

// probeUpstream checks whether an upstream has crashed, which is the case if it refuses
// connections. A timeout proves nothing, as the network to its availability zone may be
// partitioned. At the end done is closed.
func (g *Gateway) probeUpstream(u serving.Upstream, done chan struct{}) {
	defer g.endCrashProbe(u.ID, done)
	crashed := exchange.RefusesConnections(context.Background(), u.Address)
	g.mu.Lock()
	crashes := g.suspicions.ProbeFinished(u.ID, crashed)
	g.mu.Unlock()
	if crashed {
		g.metrics.crashes.Inc(1)
	}
	g.recordCrashes(g.settings.Name, crashes)
}

// endCrashProbe releases the requests that wait for a probe. The next probe of the upstream
// may have begun by then.
func (g *Gateway) endCrashProbe(upstream string, done chan struct{}) {
	close(done)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crashProbes[upstream] == done {
		delete(g.crashProbes, upstream)
	}
}

// errNoEvent means that a stream without a length or chunks, which ends with its
// connection, had no event.
var errNoEvent = errors.New("stream ended before its first event")
