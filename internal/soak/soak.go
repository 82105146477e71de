// Package soak runs gateways as separate processes on loopback addresses, injects
// random faults from outside the processes, and checks what callers and upstreams
// observe. It signals only processes that it has started, by their IDs.
package soak

import (
	"cmp"
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

// Options configure a run.
type Options struct {
	// Binary is the jaylink binary.
	Binary string
	Seed   uint64
	// For is the time for which faults are injected.
	For                         time.Duration
	Entries, Upstreams, Callers int
	// Processes is the number of further upstreams that are processes of their own.
	Processes int
	// Planned leaves out all faults. There is planned work alone, and no request may be lost.
	Planned bool
	// Frozen leaves out all faults but entries that stand still while connections are reset.
	Frozen bool
	// Herds leaves out all faults but kills of all entries at the same moment, beside requests that
	// crash their upstreams.
	Herds bool
	// Silent leaves out all faults but entries that freeze after upstreams and the configuration
	// have changed.
	Silent bool
	// LossSlack is how long after a request was sent its connection may end without an answer,
	// if it was not passed on; zero stands for the platform's bound.
	LossSlack time.Duration
	// Dir is the directory for the logs of the processes. If it is empty, a new
	// directory is created.
	Dir string
	// Out receives a line for each fault.
	Out io.Writer
}

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Dir      string
	Faults   []string
	Requests int
	Answered int
	Refused  int
	// LostKept is the number of kept connections that were closed without an answer to a request
	// that had been passed on to a sound upstream.
	LostKept   int
	Violations []string
}

const (
	// startLimit bounds the wait until all entries are ready. recoverLimit bounds the
	// wait for successful answers after the last fault.
	startLimit   = 30 * time.Second
	recoverLimit = 30 * time.Second
	// maxConcurrentFaults is the number of faults of one series that may be active at
	// the same time.
	maxConcurrentFaults = 3
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 20 * time.Millisecond
	// minFaultTime and maxFaultTime bound the duration of one fault.
	minFaultTime, maxFaultTime = 200 * time.Millisecond, 3 * time.Second
	// maxFaultGap bounds the pause between the starts of two faults.
	maxFaultGap  = 600 * time.Millisecond
	pollInterval = 50 * time.Millisecond
	// listenPoll is the time between two looks whether a process listens.
	listenPoll = 5 * time.Millisecond
	// faultStream, noticeStream, limitStream and partStream select the random streams of the series
	// of faults. The callers use the streams between the first two.
	faultStream  = 0
	noticeStream = 1 << 32
	limitStream  = 1 << 33
	partStream   = 1 << 34
	// restoreStream and promiseStream are for further series.
	restoreStream = 1 << 35
	promiseStream = 1 << 36
	// endStream is for the series of ends of upstreams.
	endStream = 1 << 38
	// plannedStream is for planned work alone, freezeStream for frozen entries alone, and paceStream
	// for how fast upstreams are then.
	plannedStream = 1 << 39
	paceStream    = 1 << 42
	freezeStream  = 1 << 46
	// processStream is for the series of upstreams that are processes, and processKindStream for
	// what these are like.
	processStream     = 1 << 40
	processKindStream = 1 << 41
	// visitorStream is for callers that behave unlike the others, and reuseStream for addresses
	// that are given out again and for late refusals.
	visitorStream = 1 << 43
	reuseStream   = 1 << 44
	// workStream is for upstreams that work on in silence.
	workStream = 1 << 45
	// herdStream and herdRequestStream are for kills of all entries, and silentStream for entries
	// that freeze after changes.
	herdStream        = 1 << 47
	herdRequestStream = 1 << 48
	silentStream      = 1 << 49
	// kindStream is for what the upstreams are like.
	kindStream = 1 << 37
)

// Run runs the load and the fault schedule of one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	r := Result{Seed: o.Seed, Dir: o.Dir}
	if r.Dir == "" {
		dir, err := os.MkdirTemp("", "jaylink-soak-")
		if err != nil {
			return r, err
		}
		r.Dir = dir
	}
	f, err := newFleet(o, r.Dir)
	if err != nil {
		return r, err
	}
	defer f.stop()
	if !eventually(startLimit, func() bool { return allReady(f) }) {
		return r, fmt.Errorf("entries are not ready; logs are in %s", r.Dir)
	}
	observations := f.runLoad(ctx, o, &r)
	r.Violations = append(r.Violations, f.checkRecovery()...)
	seen, err := f.readSeen()
	if err != nil {
		return r, err
	}
	r.check(f, seen, observations)
	if o.Planned {
		checkLost(f, seen, cmp.Or(o.LossSlack, lossSlack), observations, r.report)
	}
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
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// runLoad sends requests and injects faults for the time of the run. It returns what
// the callers observed.
func (f *fleet) runLoad(ctx context.Context, o Options, r *Result) []observation {
	ctx, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var mu sync.Mutex
	var observations []observation
	var callers sync.WaitGroup
	for i := range o.Callers {
		c := &client{
			fleet: f, name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(o.Seed, uint64(i+1))),
			http: &http.Client{Transport: &http.Transport{}}, mu: &mu, observations: &observations,
		}
		callers.Add(1)
		go func() {
			defer callers.Done()
			c.run(ctx, callerPause)
		}()
	}
	log := &faultLog{begun: time.Now(), out: o.Out}
	var series sync.WaitGroup
	for stream, list := range seriesOf(o) {
		series.Go(func() { f.inject(ctx, rand.New(rand.NewPCG(o.Seed, stream)), list, log) })
	}
	series.Wait()
	callers.Wait()
	slices.Sort(log.lines)
	r.Faults = log.lines
	return append(observations, f.visits...)
}

// seriesOf returns the series of faults of a run by their random streams.
func seriesOf(o Options) map[uint64][]fault {
	switch {
	case o.Planned:
		return map[uint64][]fault{plannedStream: planned, visitorStream: visitors}
	case o.Frozen:
		return map[uint64][]fault{freezeStream: freezes}
	case o.Herds:
		return map[uint64][]fault{herdStream: herds, herdRequestStream: {deadlyRequest}, partStream: parts}
	case o.Silent:
		return map[uint64][]fault{silentStream: silents}
	}
	series := map[uint64][]fault{
		faultStream: faults, noticeStream: notices, limitStream: limits, partStream: parts,
		restoreStream: restores, promiseStream: promises, endStream: ends, visitorStream: visitors, reuseStream: reuses,
		workStream: works,
	}
	if o.Processes > 0 {
		series[processStream] = processes
	}
	return series
}

// faultLog records and prints a line for each fault.
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
	// The output only shows the progress, so errors are ignored.
	_, _ = fmt.Fprintln(l.out, line)
}

// inject runs random faults of a list, up to maxConcurrentFaults at the same time, and
// returns when all have ended.
func (f *fleet) inject(ctx context.Context, rng *rand.Rand, list []fault, log *faultLog) {
	var running sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFaults)
	for ctx.Err() == nil {
		next := list[rng.IntN(len(list))]
		hold := between(rng, minFaultTime, maxFaultTime)
		own := rand.New(rand.NewPCG(rng.Uint64(), 0))
		gap := time.Duration(rng.Int64N(int64(maxFaultGap)))
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

// between draws a time of a range.
func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// checkRecovery ends the faults of the store proxies and waits until every entry
// serves every route with the newest key. It returns a violation for each route that
// an entry does not serve.
func (f *fleet) checkRecovery() []string {
	for _, e := range f.entries {
		e.store.clearFaults()
		e.store.resetAll()
	}
	var out []string
	for _, e := range f.entries {
		c := &client{fleet: f, name: "last-" + e.name, rng: rand.New(rand.NewPCG(0, 0)), http: &http.Client{Transport: &http.Transport{}}}
		for _, route := range []string{"stream", "once", "order", "status"} {
			n := 0
			var last observation
			ok := eventually(recoverLimit, func() bool {
				n++
				last = c.call(context.Background(), e, route, fmt.Sprintf("last-%s-%s-%d", e.name, route, n), f.newestKey())
				return last.status == http.StatusOK && last.complete
			})
			if !ok {
				out = append(out, fmt.Sprintf("RECOVER: %s does not serve %s after the last fault: status %d", e.name, route, last.status))
			}
		}
		c.http.CloseIdleConnections()
	}
	return out
}

// report adds a violation.
func (r *Result) report(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// check compares what callers observed with what upstreams ran.
func (r *Result) check(f *fleet, s seen, observations []observation) {
	runs := map[string]int{}
	for _, run := range s.runs {
		runs[run.RequestID]++
	}
	report := r.report
	known := map[string]bool{}
	for _, v := range observations {
		known[v.id] = true
		r.Requests++
		switch {
		case v.status == http.StatusOK && v.complete:
			r.Answered++
		case v.reportsNotRun():
			r.Refused++
		}
		repeatable := v.route == "stream" || v.route == "status"
		if v.problem != "" {
			report("MIXED: %s %s at %s: %s", v.route, v.id, v.entry, v.problem)
		}
		if !repeatable && runs[v.id] > 1 {
			report("TWICE: %s %s ran %d times", v.route, v.id, runs[v.id])
		}
		if !repeatable && v.reportsNotRun() && runs[v.id] > 0 {
			report("REFUSED: %s %s was answered %d and has run", v.route, v.id, v.status)
		}
		if repeatable && runs[v.id] > 2 {
			report("BUDGET: %s %s ran %d times", v.route, v.id, runs[v.id])
		}
		if v.status == http.StatusNotFound || v.status == http.StatusUnauthorized && !f.missedKeys(v) || v.status == http.StatusBadRequest {
			report("DENIED: %s %s at %s was answered %d", v.route, v.id, v.entry, v.status)
		}
	}
	checkOrder(f, s, observations, report)
	checkRuns(f, s, observations, report)
	checkWork(f, s.works, report)
	checkGone(f, f.promptArrivals(), observations, report)
	checkWithdrawn(f, runs, report)
	checkDepartures(f, report)
	r.LostKept = checkKept(f, observations, report)
	checkNotices(f, observations, report)
	checkDeadly(s, report)
	checkLimits(f, report)
	checkDeadlyParts(f, s, report)
	r.checkDuties(f, report)
}

// checkDuties checks that the accepted duty calls report the same counts for each
// usage window and come from one holder for each fencing token.
func (r *Result) checkDuties(f *fleet, report func(string, ...any)) {
	counts, holders := map[int64]string{}, map[uint64]string{}
	for _, d := range f.store.Duties() {
		if holder, ok := holders[d.Token]; ok && holder != d.Holder {
			report("ONE: token %d of %s and %s", d.Token, holder, d.Holder)
		}
		holders[d.Token] = d.Holder
		window, sent, err := d.Usage()
		if err != nil {
			report("ONE: usage report can't be decoded: %v", err)
			continue
		}
		// fmt prints maps sorted by key, so equal maps give equal texts.
		text := fmt.Sprint(sent)
		if before, ok := counts[window]; ok && before != text {
			report("ONE: window %d was reported as %s and as %s", window, before, text)
		}
		counts[window] = text
	}
}
