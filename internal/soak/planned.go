package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// Upstreams of a run with planned work or frozen entries alone take between eventInterval and these
// times before an event and before a plain answer, so that requests are under way when an entry stops.
// A whole stream and a plain answer fit into callTimeout.
const (
	slowestEvent = 400 * time.Millisecond
	slowestPlain = 2 * time.Second
)

// drawPace draws the time that an upstream takes before each event or plain answer.
func (f *fleet) drawPace(service string) time.Duration {
	if !f.variesPace {
		return eventInterval
	}
	slowest := slowestPlain
	if service == engines {
		slowest = slowestEvent
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paces.IntN(2) == 0 {
		return eventInterval
	}
	return between(f.paces, eventInterval, slowest)
}

// planned is the series of a run with planned work alone: entries are stopped and started, told
// to read their settings again, and the configuration changes.
var planned = []fault{
	{"entry_stopped", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		f.recordPlanned(e, "SIGTERM")
		detail := restart(f, e, syscall.SIGTERM, hold/4)
		if !eventually(startLimit, e.ready) {
			return detail + " is not ready again"
		}
		return detail
	}},
	{"entry_hangup", func(f *fleet, rng *rand.Rand, _ time.Duration) string {
		e := anyEntry(f, rng)
		e.fault.Lock()
		defer e.fault.Unlock()
		if !eventually(startLimit, e.ready) {
			return e.name + " is not ready"
		}
		f.recordPlanned(e, "SIGHUP")
		e.signal(syscall.SIGHUP)
		return e.name
	}},
	{"configuration_changed", func(f *fleet, _ *rand.Rand, _ time.Duration) string {
		f.recordPlanned(nil, "configuration")
		f.newKey()
		return ""
	}},
}

// plannedWork is planned work on an entry, or on all if entry is nil.
type plannedWork struct {
	entry *entry
	name  string
	at    time.Time
}

func (f *fleet) recordPlanned(e *entry, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plannedWork = append(f.plannedWork, plannedWork{e, name, time.Now()})
}

// plannedBefore names the last planned work at a request's entry before the request ended.
func (f *fleet) plannedBefore(v observation) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := "no planned work before"
	for _, w := range f.plannedWork {
		if (w.entry == nil || w.entry.name == v.entry) && !w.at.After(v.ended) {
			out = fmt.Sprintf("%s %v before its end", w.name, v.ended.Sub(w.at).Round(time.Millisecond))
		}
	}
	return out
}
