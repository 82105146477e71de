package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"jaylink/decision/answer"
	"jaylink/decision/poison"
	"jaylink/serving"
	"jaylink/upstream/exchange"
)

const (
	// crashProbeTimeout limits the first inquiry after a connection broke, for which the request
	// waits.
	crashProbeTimeout = 250 * time.Millisecond
	// minWatchPause and maxWatchPause are the pauses between two later calls, and
	// watchCallTimeout limits each call.
	minWatchPause    = 50 * time.Millisecond
	maxWatchPause    = 400 * time.Millisecond
	watchCallTimeout = 400 * time.Millisecond
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
	p := r.progress.process
	u := p.listed
	if !connectionLost(err) || !g.expectedToRun(u) {
		return
	}
	f := r.fingerprint()
	g.mu.Lock()
	crash := poison.Crash{Fingerprint: f, Upstream: u.ID, At: g.trueTime(), Sent: r.progress.sentAt}
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
		go g.withRecover("crash probe", func() { g.probeUpstream(p, done) })
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
	if listed, ok := g.listedUpstream(u.ID); !ok || listed.Draining {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.table.Leaving(u)
}

// probeUpstream checks whether an upstream has crashed, which is the case if it refuses
// connections or another process answers in its place. A timeout proves nothing, as the network
// to its availability zone may be partitioned, and neither does a connection that is closed: what
// it was reached through may go on listening without it. Then the upstream is asked for longer.
// At the end done is closed.
func (g *Gateway) probeUpstream(p process, done chan struct{}) {
	defer g.endCrashProbe(p.listed.ID, done)
	isListed := g.isListed(p.listed)
	ctx, cancel := context.WithTimeout(g.givenUp, crashProbeTimeout)
	defer cancel()
	var seen answer.Inquiry
	asked := g.inquire(ctx, p, &seen)
	if asked.IsZero() {
		seen.Refused = exchange.RefusesConnections(ctx, p.listed.Address)
	}
	// The place of a process that was not listed any more may have been given to another one.
	crashed := seen.Refused || seen.Process == answer.Gone && isListed
	if isListed && seen.Process == answer.Unknown && !asked.IsZero() {
		defer g.watchBreak(p, seen)
	}
	g.recordCrashes(g.settings.Name, g.endSuspicion(p, seen, asked, crashed, isListed))
}

// endSuspicion records the result of a probe and returns the crashes that it shows.
func (g *Gateway) endSuspicion(p process, seen answer.Inquiry, asked time.Time, crashed, wasListed bool) []poison.Crash {
	u := p.listed
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordAlive(p, seen, asked)
	crashes := g.suspicions.ProbeFinished(u.ID, crashed)
	if !crashed && wasListed && g.isReplaced(u) {
		// The list has changed while the probe was under way.
		crashes = g.suspicions.Restarted(g.trueTime(), u.ID)
	}
	if crashed || len(crashes) > 0 {
		g.metrics.crashes.Inc(1)
	}
	return crashes
}

// listedUpstream returns the entry that the upstream list has for an ID.
func (g *Gateway) listedUpstream(id string) (serving.Upstream, bool) {
	list := g.upstreams.Load()
	if list == nil {
		return serving.Upstream{}, false
	}
	u, ok := list.upstreams[id]
	return u, ok
}

// isListed reports whether the upstream list has an upstream's process, as one that is not
// shutting down.
func (g *Gateway) isListed(u serving.Upstream) bool {
	listed, ok := g.listedUpstream(u.ID)
	return ok && !listed.Draining && listed.Instance() == u.Instance()
}

// isReplaced reports whether the upstream list has another process under an upstream's ID.
func (g *Gateway) isReplaced(u serving.Upstream) bool {
	listed, ok := g.listedUpstream(u.ID)
	return ok && listed.StartMillis != u.StartMillis && !g.processStarts.isEarlier(listed)
}

// watchBreak asks an upstream in the background why its connections broke, if that is not under
// way yet. The store may be late to list the process that follows one that has crashed.
func (g *Gateway) watchBreak(p process, seen answer.Inquiry) {
	instance := p.started.Instance()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watchedBreaks[instance] {
		return
	}
	g.watchedBreaks[instance] = true
	go g.withRecover("watch", func() {
		defer g.endWatch(instance)
		g.askUntilKnown(p, seen)
	})
}

func (g *Gateway) endWatch(instance uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.watchedBreaks, instance)
}

// askUntilKnown asks an upstream whether its process still runs, for as long as a restart would
// show that it has crashed.
func (g *Gateway) askUntilKnown(p process, seen answer.Inquiry) {
	ctx, cancel := context.WithTimeout(g.givenUp, poison.RestartNoticeTime)
	defer cancel()
	for pause := minWatchPause; sleep(ctx, pause) && g.isListed(p.listed) && g.expectedToRun(p.listed); pause = min(2*pause, maxWatchPause) {
		// What holds a connection open without an upstream does not close it when there is one.
		call, end := context.WithTimeout(ctx, watchCallTimeout)
		asked := g.askAll(call, p, &seen)
		end()
		if seen.Process != answer.Unknown {
			g.recordCrashes(g.settings.Name, g.endWatched(p, seen, asked))
			return
		}
	}
}

// endWatched records what an upstream has told about its break and returns the crashes that it
// shows.
func (g *Gateway) endWatched(p process, seen answer.Inquiry, asked time.Time) []poison.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.isListed(p.listed) || g.table.Leaving(p.listed):
		return nil
	case seen.Process == answer.Gone:
		crashes := g.suspicions.Restarted(g.trueTime(), p.listed.ID)
		if len(crashes) > 0 {
			g.metrics.crashes.Inc(1)
		}
		return crashes
	}
	g.recordAlive(p, seen, asked)
	return nil
}

// recordAlive records that the process to which a request was sent still runs, if the upstream has
// shown that. The caller holds mu.
func (g *Gateway) recordAlive(p process, seen answer.Inquiry, asked time.Time) {
	now := g.trueTime()
	var since time.Time
	switch {
	case seen.Process != answer.Running || !seen.Certain && !seen.Kept:
		return
	case !seen.Certain:
		since = now.Add(-time.Since(p.sent))
	}
	g.suspicions.Alive(p.listed.ID, since, now.Add(-time.Since(asked)))
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
