package decision

import (
	"cmp"
	"slices"
	"time"

	"jaylink/decision/poison"
	"jaylink/decision/reason"
)

// crashed counts a crash and refuses the requests with the same fingerprint
// that wait, once it is poison.
func (c *Core) crashed(now time.Time, crash poison.Crash) []Action {
	if !c.poison.Add(now, crash) {
		return nil
	}
	poisoned := c.poison.Poisoned(now, crash.Fingerprint)
	var out []Action
	for _, r := range c.waiting(crash.Fingerprint) {
		c.suspect(r)
		if poisoned {
			out = append(out, c.refuse(now, r, reason.Poison)...)
		}
	}
	return out
}

// waiting returns the requests of a fingerprint that wait for an attempt, in
// the order of arrival.
func (c *Core) waiting(fingerprint uint64) []*request {
	var list []*request
	for _, r := range c.requests {
		if r.fingerprint == fingerprint && (r.phase == phaseQueued || r.phase == phaseBackoff) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	return list
}

// blame counts the crash that ended an attempt. An upstream that said that it
// was leaving did not crash.
func (c *Core) blame(now time.Time, r *request, ev AttemptEvent) []Action {
	u := c.table.Get(ev.Upstream)
	if !ev.Crashed || u == nil || u.Leaving {
		return nil
	}
	at := now
	if !ev.BrokeAt.IsZero() {
		at = ev.BrokeAt
	}
	crash := poison.Crash{Fingerprint: r.fingerprint, Upstream: ev.Upstream, At: at}
	return append([]Action{CrashAction{Crash: crash}}, c.crashed(now, crash)...)
}

// suspect marks a request that took part in a crash, so that it is not run
// beside another such request: the next crash then has one cause.
func (c *Core) suspect(r *request) {
	r.route.Suspect = c.poison.Crashes(r.fingerprint) > 0
}

// setSuspect notes that an upstream runs a suspect request, or no longer does.
func (c *Core) setSuspect(r *request, upstream string, delta int) {
	if u := c.table.Get(upstream); u != nil && r.route.Suspect {
		u.Suspects = max(u.Suspects+delta, 0)
	}
}
