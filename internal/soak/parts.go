package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"jaylink/standin/upstream"
)

// partCrashLimit is the number of crashes by a deadly part after which, and contactTime
// later, at most maxLateSends more requests with it may reach upstreams.
const partCrashLimit = 5

// deadlyParts are the parts of prompts that crash upstreams. Few enough that a run sends
// some of them several times.
var deadlyParts = []string{"d1", "d2", "d3", "d4"}

// parts run concurrently with the other series: requests with deadly parts.
var parts = []fault{
	{"deadly_part", func(f *fleet, rng *rand.Rand, hold time.Duration) string { return f.sendDeadlyParts(rng, hold) }},
}

// sendDeadlyParts sends requests that have a deadly part in common to random entries.
func (f *fleet) sendDeadlyParts(rng *rand.Rand, hold time.Duration) string {
	part := deadlyParts[rng.IntN(len(deadlyParts))]
	route := []string{"stream", "once"}[rng.IntN(2)]
	pace := time.NewTicker([]time.Duration{125, 250, 500}[rng.IntN(3)] * time.Millisecond)
	defer pace.Stop()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	var calls sync.WaitGroup
	sent := 0
	for end := time.Now().Add(hold + deadlyExtraTime); time.Now().Before(end); sent++ {
		c := &client{fleet: f, name: "part", part: part, rng: rand.New(rand.NewPCG(rng.Uint64(), 0)), http: &http.Client{Transport: transport}}
		e, id := anyEntry(f, rng), fmt.Sprintf("part-%s-%x", part, rng.Uint64())
		// The answer is ignored; checkDeadlyParts checks what the upstreams received.
		calls.Go(func() { c.call(context.Background(), e, route, id, f.key()) })
		<-pace.C
	}
	calls.Wait()
	return fmt.Sprintf("%s on %s sent %d times", part, route, sent)
}

// checkDeadlyParts checks that requests with a deadly part reached upstreams no more often
// than the bound allows. Those of entries that were disturbed before do not count.
func checkDeadlyParts(f *fleet, s seen, report func(string, ...any)) {
	for _, part := range deadlyParts {
		var crashes []time.Time
		var arrivals []upstream.Arrival
		for _, c := range s.partCrashes {
			if c.Part == part {
				crashes = append(crashes, c.At)
			}
		}
		for _, a := range s.arrivals {
			if slices.Contains(upstream.SharedParts(a.Prefix), part) {
				arrivals = append(arrivals, a)
			}
		}
		if len(crashes) < partCrashLimit {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		bound, late := crashes[partCrashLimit-1].Add(contactTime), 0
		f.mu.Lock()
		for _, a := range arrivals {
			if e := f.senders[a.RequestID]; a.At.After(bound) && e != nil && e.undisturbed(a.At.Add(-contactTime), a.At) {
				late++
			}
		}
		f.mu.Unlock()
		if late > maxLateSends {
			report("BUDGET: requests with the part %s crashed upstreams %d times, %d reached upstreams too late", part, len(crashes), late)
		}
	}
}
