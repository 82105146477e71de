package decision

import (
	"cmp"
	"slices"
	"time"

	"jaylink/decision/poison"
	"jaylink/decision/reason"
)

// handleCrash records a crash. If the fingerprint of the crash then counts as
// poison, it refuses the waiting requests with this fingerprint.
func (c *Core) handleCrash(now time.Time, crash poison.Crash) []Action {
	if !c.poison.Add(now, crash) {
		return nil
	}
	poisoned := c.poison.Poisoned(now, crash.Fingerprint)
	var out []Action
	for _, r := range c.waitingByFingerprint(crash.Fingerprint) {
		c.updateSuspect(r)
		if poisoned {
			out = append(out, c.refuse(now, r, reason.Poison)...)
		}
	}
	return out
}

// waitingByFingerprint returns the requests with a fingerprint that are queued
// or in backoff, in the order of acceptance.
func (c *Core) waitingByFingerprint(fingerprint uint64) []*request {
	var list []*request
	for _, r := range c.requests {
		if r.fingerprint == fingerprint && (r.phase == phaseQueued || r.phase == phaseBackoff) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.seq, b.seq) })
	return list
}

// reportCrash records the crash that ended an attempt, and returns actions that
// report it to the other entries. A connection that broke because the upstream
// was leaving is not a crash.
func (c *Core) reportCrash(now time.Time, r *request, ev AttemptEvent) []Action {
	u := c.table.Get(ev.Upstream)
	if !ev.Crashed || u == nil || u.Leaving {
		return nil
	}
	at := now
	if !ev.BrokeAt.IsZero() {
		at = ev.BrokeAt
	}
	crash := poison.Crash{Fingerprint: r.fingerprint, Upstream: ev.Upstream, At: at}
	return append([]Action{CrashAction{Crash: crash}}, c.handleCrash(now, crash)...)
}

// updateSuspect marks a request that was involved in a crash as suspect. Two
// suspect requests are not run on the same upstream, so that the next crash has
// a single possible cause.
func (c *Core) updateSuspect(r *request) {
	r.route.Suspect = c.poison.Crashes(r.fingerprint) > 0
}

// countSuspect adjusts the number of suspect requests on an upstream.
func (c *Core) countSuspect(r *request, upstream string, delta int) {
	if u := c.table.Get(upstream); u != nil && r.route.Suspect {
		u.Suspects = max(u.Suspects+delta, 0)
	}
}
