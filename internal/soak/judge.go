package soak

import (
	"fmt"
	"strings"
	"time"

	"jaylink/standin/upstream"
)

const (
	// goneSlack is how long after a caller has left its request may still reach an upstream, and
	// maxGone the number of requests that may do so later.
	goneSlack = 500 * time.Millisecond
	maxGone   = 3
)

// calm reports whether an entry's process was not disturbed for contactTime before a time and up
// to another.
func (f *fleet) calm(entry string, from, to time.Time) bool {
	from = from.Add(-contactTime)
	for _, e := range f.entries {
		if e.name == entry {
			return e.disturbed.calm(from, to) && e.undisturbed(from, to)
		}
	}
	return false
}

// checkGone checks that requests reach no upstream long after their callers have left.
func checkGone(f *fleet, arrivals []upstream.Arrival, observations []observation, report func(string, ...any)) {
	left := map[string]observation{}
	for _, v := range observations {
		if v.gaveUp && !v.complete {
			left[v.id] = v
		}
	}
	var late []string
	for _, a := range arrivals {
		v, ok := left[a.RequestID]
		if after := a.At.Sub(v.ended); ok && after > goneSlack && f.calm(v.entry, v.ended, a.At) {
			late = append(late, fmt.Sprintf("%s at %s after %v", v.id, v.entry, after.Round(time.Millisecond)))
		}
	}
	if len(late) > maxGone {
		report("GONE: %d requests reached upstreams after their callers had left: %q", len(late), late)
	}
}

// promptArrivals returns what arrived at upstreams whose proxy cannot have kept it back. It leaves
// out upstreams that are processes, which may have been paused.
func (f *fleet) promptArrivals() []upstream.Arrival {
	var out []upstream.Arrival
	for _, b := range f.all() {
		for _, a := range b.Arrivals() {
			if b.proxy.harmed.calm(a.At.Add(-contactTime), a.At) {
				out = append(out, a)
			}
		}
	}
	return out
}

// checkRuns checks that upstreams ran what callers had sent, at the service of its route.
func checkRuns(f *fleet, s seen, observations []observation, report func(string, ...any)) {
	services := map[string]string{}
	for _, b := range f.all() {
		services[b.ID] = b.service
	}
	for _, p := range f.processes {
		services[p.id] = p.service
	}
	sent := map[string]observation{}
	for _, v := range observations {
		sent[v.id] = v
	}
	for _, r := range s.runs {
		id, _, _ := strings.Cut(r.Name, "/")
		want := counter
		if route, _, _ := strings.Cut(strings.TrimPrefix(r.Target, "/"), "/"); streams(route) {
			want = engines
		}
		if services[id] != want {
			report("ROUTE: %s ran %s of %s at %s, which is of service %s", id, r.Target, r.RequestID, id, services[id])
		}
		if v, ok := sent[r.RequestID]; ok && (r.Target != v.target || r.Body != v.body) {
			report("UNASKED: %s ran %s with %d bytes for %s, which was sent as %s with %d bytes",
				r.Name, r.Target, len(r.Body), v.id, v.target, len(v.body))
		}
	}
}

// checkWithdrawn checks that no request runs with a key that was withdrawn long before, at entries
// that are in touch with the store.
func checkWithdrawn(f *fleet, runs map[string]int, report func(string, ...any)) {
	for _, u := range f.lateUses {
		if runs[u.id] == 0 || u.started.Sub(u.withdrawn) < applyBound {
			continue
		}
		from := u.withdrawn.Add(-contactTime)
		for _, e := range f.entries {
			if e.name == u.entry && f.calm(e.name, u.withdrawn, u.ended) && e.store.disturbed.calm(from, u.ended) && f.storeDisturbed.calm(from, u.ended) {
				report("CONFIG: %s ran at %s %v after its key was withdrawn", u.id, u.entry, u.started.Sub(u.withdrawn).Round(time.Millisecond))
			}
		}
	}
}
