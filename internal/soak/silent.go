package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/standin/upstream"
)

const (
	// minBeforeConfig and maxBeforeConfig bound the time from an upstream's report to the next
	// configuration, and minBeforeFreeze and maxBeforeFreeze that from there to the freeze of an
	// entry: the entries that watch the store have just announced the changes, and the others are
	// about to fetch them.
	minBeforeConfig = 100 * time.Millisecond
	maxBeforeConfig = 300 * time.Millisecond
	minBeforeFreeze = 60 * time.Millisecond
	maxBeforeFreeze = 180 * time.Millisecond
	watcherCount    = 3
	// leaveSlack is how long a leaving upstream serves beyond the drain bound.
	leaveSlack = 300 * time.Millisecond
)

// departure is an upstream that the store has accepted as draining or gone at a time.
type departure struct {
	*backend
	at time.Time
}

// silents is the series of a run in which upstreams leave and the configuration changes, and an
// entry freezes while the others hear of it.
var silents = []fault{
	{"entry_frozen_after_changes", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		f.oneByOne.Lock()
		defer f.oneByOne.Unlock()
		watchers := f.watchers()
		e, reports := watchers[rng.IntN(len(watchers))], rng.IntN(2) == 0
		beforeConfig := between(rng, minBeforeConfig, maxBeforeConfig)
		beforeFreeze := between(rng, minBeforeFreeze, maxBeforeFreeze)
		b, at, err := f.depart(rng.IntN(8), reports)
		if err != nil {
			return err.Error()
		}
		time.Sleep(beforeConfig)
		f.newKey()
		time.Sleep(beforeFreeze)
		e.pause(func() { time.Sleep(drainTime + hold) })
		time.Sleep(time.Until(at.Add(drainTime + leaveSlack)))
		f.remove(b)
		return fmt.Sprintf("%s, %s reports %t, configuration after %s, freeze after %s", e.name, b.ID, reports,
			beforeConfig.Round(time.Millisecond), beforeFreeze.Round(time.Millisecond))
	}},
}

// watchers returns the entries that watch the store while all are there: those of the lowest hash.
func (f *fleet) watchers() []*entry {
	list := slices.Clone(f.entries)
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)) })
	return list[:min(len(list), watcherCount)]
}

// depart starts a replacement for an upstream, which then reports that it is draining, or whose
// registration is removed without that. It goes on serving.
func (f *fleet) depart(i int, reports bool) (*backend, time.Time, error) {
	b, err := f.substitute(i)
	if err != nil {
		return nil, time.Time{}, err
	}
	state := ""
	if reports {
		state = "draining"
	}
	f.publish(b, state)
	f.mu.Lock()
	defer f.mu.Unlock()
	d := departure{b, time.Now()}
	f.departures = append(f.departures, d)
	return b, d.at, nil
}

// missedKeys reports whether a request's entry may have missed its key, as it was frozen shortly
// before. The platform's rule on refused requests binds entries in touch.
func (f *fleet) missedKeys(v observation) bool {
	return f.inTouch && !f.calm(v.entry, v.started, v.ended)
}

// checkDepartures checks that entries in touch send nothing to upstreams that the store has
// accepted as draining or gone longer ago than the drain bound.
func checkDepartures(f *fleet, report func(string, ...any)) {
	for _, d := range f.departures {
		var late []upstream.Arrival
		for _, a := range d.Arrivals() {
			e := f.senders[a.RequestID]
			if a.At.Sub(d.at) > drainTime && e != nil && f.calm(e.name, a.At, a.At) {
				late = append(late, a)
			}
		}
		if len(late) > 0 {
			report("DRAIN: %s got %d requests up to %v after the store had accepted that it leaves", d.ID, len(late),
				late[len(late)-1].At.Sub(d.at).Round(time.Millisecond))
		}
	}
}
