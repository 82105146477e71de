package gateway

import (
	"time"

	"jaylink/decision/notrun"
	"jaylink/decision/rollout"
)

// addCount changes what this entry has counted for the latest attempt's version and route,
// if the rollout that ran when it was sent still runs. The caller holds mu.
func (g *Gateway) addCount(r *request, change func(*rollout.Counts)) {
	s := r.progress.rollout
	if s == nil || !s.isRunning() {
		return
	}
	key := rollout.Key{Version: r.progress.upstream.Version, Route: r.route.Name}
	c, ok := s.counts[key]
	if !ok && len(s.counts) >= maxMessageCells {
		return
	}
	change(&c)
	s.counts[key] = c
}

// countAttempt counts an attempt that is about to be sent. The caller holds mu.
func (g *Gateway) countAttempt(r *request) {
	s := g.rollouts[r.service.Name]
	r.progress.counted, r.progress.rollout = false, s
	if s == nil {
		return
	}
	g.addCount(r, func(c *rollout.Counts) { c.Requests++ })
	if s.isRunning() && r.progress.upstream.Version == s.Target {
		g.metrics.rolloutRequests.Inc(1)
	}
}

// countLatency counts the time to the first event or to the whole answer, once for each
// attempt. The caller holds mu.
func (g *Gateway) countLatency(r *request, now time.Time) {
	if r.progress.counted {
		return
	}
	r.progress.counted = true
	took := now.Sub(r.progress.process.sent)
	g.addCount(r, func(c *rollout.Counts) { c.Add(rollout.FirstEvent, took) })
}

// countAttemptEnd counts the end of an attempt. An upstream that declines a request has not
// failed, and a caller that leaves says nothing about the version.
func (g *Gateway) countAttemptEnd(r *request, result attemptResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.progress.rollout == nil {
		return
	}
	now := time.Now()
	p := &r.progress
	switch {
	case result == delivered:
		g.countLatency(r, now)
		if r.route.Streaming && p.longestPause > 0 {
			g.addCount(r, func(c *rollout.Counts) { c.Add(rollout.Pause, p.longestPause) })
		}
	case result == broken, result == serverError, result == notRun && p.notRun == notrun.NotSent, result == callerGone && now.After(r.deadline):
		g.addCount(r, func(c *rollout.Counts) { c.Failures++ })
	}
}
