package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// limitTime is how long a limit lasts at least: a window of the platform's rule after the
// time from which on it is checked.
const limitTime = contactTime + 5*time.Second

// limits run concurrently with the other series: upstreams that state limits.
var limits = []fault{
	{"upstream_limited", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		return limitAll([]*backend{b}, rng, hold)
	}},
	{"service_limited", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		service := []string{engines, counter}[rng.IntN(2)]
		var list []*backend
		for _, b := range f.current() {
			if b.service == service {
				list = append(list, b)
			}
		}
		return limitAll(list, rng, hold)
	}},
}

// current returns the upstreams that have not been removed.
func (f *fleet) current() []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*backend(nil), f.upstreams...)
}

// limitAll makes upstreams state a limit, then another one, and then none.
func limitAll(list []*backend, rng *rand.Rand, hold time.Duration) string {
	var stated []string
	for _, after := range []time.Duration{limitTime + hold, hold} {
		perSecond := []float64{0, 0.4, 1, 2.5, 8, 20}[rng.IntN(6)]
		for _, b := range list {
			b.SetLimit(perSecond)
			stated = append(stated, fmt.Sprintf("%s:%g", b.ID, perSecond))
		}
		time.Sleep(after)
	}
	for _, b := range list {
		b.ClearLimit()
	}
	return strings.Join(stated, " ")
}

// recordSender records which entry a request was sent to.
func (f *fleet) recordSender(requestID string, e *entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.senders[requestID] = e
}

// checkLimits checks that upstreams got no more requests than their limits allow. It
// skips upstreams with faulty connections or crashes, because their answers may not have
// reached the entry.
func checkLimits(f *fleet, report func(string, ...any)) {
	f.mu.Lock()
	senders := f.senders
	f.mu.Unlock()
	byName := map[string]*entry{}
	for _, e := range f.entries {
		byName[e.name] = e
	}
	entryOf := func(requestID string) string {
		if e := senders[requestID]; e != nil {
			return e.name
		}
		return ""
	}
	excused := func(name string, from, to time.Time) bool {
		e := byName[name]
		return e == nil || !e.undisturbed(from, to)
	}
	for _, b := range f.all() {
		if !b.proxy.neverFaulty() || b.Crashes() > 0 {
			continue
		}
		for _, excess := range b.CheckLimits(contactTime, entryOf, excused) {
			report("LIMIT: %s: %v", b.ID, excess)
		}
	}
}
