// Package soak runs gateways as separate processes on loopback, injects random
// faults from outside them, and checks what callers and upstreams see. It ends
// only processes that it has started, by their IDs.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// Options say what to run.
type Options struct {
	// Binary is the jaylink binary.
	Binary string
	Seed   uint64
	// For is how long faults are injected.
	For                         time.Duration
	Entries, Upstreams, Callers int
	// Dir takes the logs of the processes; a new directory if it is empty.
	Dir string
	// Out takes a line for each fault.
	Out io.Writer
}

// Result is what a run has shown.
type Result struct {
	Seed       uint64
	Dir        string
	Faults     []string
	Requests   int
	Answered   int
	Refused    int
	Violations []string
}

const (
	// startLimit and recoverLimit bound the waits for ready entries and, after
	// the last fault, for answers.
	startLimit   = 30 * time.Second
	recoverLimit = 30 * time.Second
	// overlap is the number of faults that may be under way at once.
	overlap = 3
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 20 * time.Millisecond
	// holdLeast and holdMost bound the time of one fault.
	holdLeast, holdMost = 200 * time.Millisecond, 3 * time.Second
	// gapMost bounds the pause between the starts of two faults.
	gapMost = 600 * time.Millisecond
	poll    = 50 * time.Millisecond
	// faultStream and noticeStream are the streams of random numbers of the two series
	// of faults; callers have those between.
	faultStream  = 0
	noticeStream = 1 << 32
)

// Run plays one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	r := Result{Seed: o.Seed, Dir: o.Dir}
	if r.Dir == "" {
		dir, err := os.MkdirTemp("", "jaylink-soak-")
		if err != nil {
			return r, err
		}
		r.Dir = dir
	}
	// The block of addresses keeps runs side by side apart.
	f, err := newFleet(r.Dir, o.Binary, os.Getpid()%10_000, o.Entries, o.Upstreams)
	if err != nil {
		return r, err
	}
	defer f.stop()
	if !eventually(startLimit, func() bool { return allReady(f) }) {
		return r, fmt.Errorf("entries are not ready; logs are in %s", r.Dir)
	}
	verdicts := f.play(ctx, o, &r)
	r.Violations = append(r.Violations, f.recovered()...)
	r.check(f, verdicts)
	return r, nil
}

func allReady(f *fleet) bool {
	for _, e := range f.entries {
		if !e.ready() {
			return false
		}
	}
	return true
}

func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		if condition() {
			return true
		}
	}
	return false
}

// play sends requests and injects faults, and returns when both have ended.
func (f *fleet) play(ctx context.Context, o Options, r *Result) []verdict {
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var mu sync.Mutex
	var verdicts []verdict
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := &client{
			fleet: f, name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(o.Seed, uint64(i+1))),
			http: &http.Client{Transport: &http.Transport{}}, mu: &mu, verdicts: &verdicts,
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			c.run(ctx, callerPause)
		}()
	}
	log := &faultLog{begun: time.Now(), out: o.Out}
	var series sync.WaitGroup
	series.Go(func() { f.inject(ctx, rand.New(rand.NewPCG(o.Seed, faultStream)), faults, log) })
	series.Go(func() { f.inject(ctx, rand.New(rand.NewPCG(o.Seed, noticeStream)), notices, log) })
	series.Wait()
	callers.Wait()
	slices.Sort(log.lines)
	r.Faults = log.lines
	return verdicts
}

// faultLog keeps a line for each fault.
type faultLog struct {
	begun time.Time
	out   io.Writer
	mu    sync.Mutex
	lines []string
}

func (l *faultLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
	// The line is for those who watch.
	_, _ = fmt.Fprintln(l.out, line)
}

// inject plays faults of a list, some of them at once, and returns when all have ended.
func (f *fleet) inject(ctx context.Context, rng *rand.Rand, list []fault, log *faultLog) {
	var running sync.WaitGroup
	slots := make(chan struct{}, overlap)
	for ctx.Err() == nil {
		next := list[rng.IntN(len(list))]
		hold := holdLeast + time.Duration(rng.Int64N(int64(holdMost-holdLeast)))
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		gap := time.Duration(rng.Int64N(int64(gapMost)))
		slots <- struct{}{}
		line := fmt.Sprintf("%6.2f %s for %s", time.Since(log.begun).Seconds(), next.name, hold.Round(time.Millisecond))
		running.Go(func() {
			defer func() { <-slots }()
			log.add(line + " " + next.run(f, own, hold))
		})
		time.Sleep(gap)
	}
	running.Wait()
}

// recovered waits until every entry serves every route with the newest key.
func (f *fleet) recovered() []string {
	for _, e := range f.entries {
		e.store.heal()
		e.store.resetAll()
	}
	var out []string
	for _, e := range f.entries {
		c := &client{fleet: f, name: "last-" + e.name, rng: rand.New(rand.NewPCG(0, 0)), http: &http.Client{Transport: &http.Transport{}}}
		for _, route := range []string{"stream", "once", "order", "status"} {
			n := 0
			var last verdict
			ok := eventually(recoverLimit, func() bool {
				n++
				last = c.call(context.Background(), e, route, fmt.Sprintf("last-%s-%s-%d", e.name, route, n), f.newestKey())
				return last.status == http.StatusOK && last.whole
			})
			if !ok {
				out = append(out, fmt.Sprintf("RECOVER: %s does not serve %s after the last fault: status %d", e.name, route, last.status))
			}
		}
		c.http.CloseIdleConnections()
	}
	return out
}

// check holds what callers saw against what upstreams ran.
func (r *Result) check(f *fleet, verdicts []verdict) {
	runs := f.runs()
	report := func(format string, args ...any) { r.Violations = append(r.Violations, fmt.Sprintf(format, args...)) }
	known := map[string]bool{}
	for _, v := range verdicts {
		known[v.id] = true
		r.Requests++
		switch {
		case v.status == http.StatusOK && v.whole:
			r.Answered++
		case v.promisesUnrun():
			r.Refused++
		}
		repeatable := v.route == "stream" || v.route == "status"
		if v.fault != "" {
			report("MIXED: %s %s at %s: %s", v.route, v.id, v.entry, v.fault)
		}
		if !repeatable && runs[v.id] > 1 {
			report("TWICE: %s %s ran %d times", v.route, v.id, runs[v.id])
		}
		if !repeatable && v.promisesUnrun() && runs[v.id] > 0 {
			report("REFUSED: %s %s was answered %d and has run", v.route, v.id, v.status)
		}
		if repeatable && runs[v.id] > 2 {
			report("BUDGET: %s %s ran %d times", v.route, v.id, runs[v.id])
		}
		if v.status == http.StatusNotFound || v.status == http.StatusUnauthorized || v.status == http.StatusBadRequest {
			report("DENIED: %s %s at %s was answered %d", v.route, v.id, v.entry, v.status)
		}
	}
	checkNotices(f, verdicts, report)
	checkDeadly(f, report)
	r.checkDuties(f, report)
}

// checkDuties holds the accepted duty calls to one count a window and one holder
// a token.
func (r *Result) checkDuties(f *fleet, report func(string, ...any)) {
	counts, holders := map[int64]string{}, map[uint64]string{}
	for _, d := range f.store.Duties() {
		if holder, ok := holders[d.Token]; ok && holder != d.Holder {
			report("ONE: token %d of %s and %s", d.Token, holder, d.Holder)
		}
		holders[d.Token] = d.Holder
		window, sent, err := d.Usage()
		if err != nil {
			report("ONE: report can't be read: %v", err)
			continue
		}
		// Printed maps are sorted by key.
		text := fmt.Sprint(sent)
		if before, ok := counts[window]; ok && before != text {
			report("ONE: window %d was reported as %s and as %s", window, before, text)
		}
		counts[window] = text
	}
}
