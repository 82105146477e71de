// Package model measures the decisions without processes: it runs one decision core per
// entry, and simulated engines, in virtual time. The same options give the same
// figures. A simulated engine batches, has a prefix cache of limited size and reports
// its load with a lag; see docs/design/cost.md for what is counted.
package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/internal/workload"
)

// Site is the location of an entry.
type Site struct{ Zone, Region string }

// Options describe one run.
type Options struct {
	Profile *workload.Profile
	Objects []*api.Object
	Entries []Site
	// Chain returns the configuration of an entry's decision core.
	Chain func(s Site) (decision.Config, error)
	Seed  uint64
	// Scale multiplies the profile's rates. 0 means 1.
	Scale float64
	// Credential returns the value of the "credential" label for a token.
	Credential func(token string) string
}

// One-way latencies between an entry and an upstream.
const (
	zoneLatency   = 500 * time.Microsecond
	regionLatency = 8 * time.Millisecond
)

const (
	loadInterval      = time.Second
	heartbeatInterval = 500 * time.Millisecond
	// maxLeavingLag bounds the time until an entry learns that a host is leaving.
	maxLeavingLag = 2 * time.Second
	// drainTime is how long a run goes on after the end of the profile.
	drainTime = 3 * time.Minute
)

// Model is one run.
type Model struct {
	opts       Options
	rng        *rand.Rand
	now        time.Duration
	events     events
	seq        int
	engines    map[string]*engine
	engineList []*engine
	entries    []*entry
	// computed has the prompt templates that some engine has computed.
	computed map[string]bool
	result   *Result
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run runs the model to its end.
func Run(opts Options) (*Result, error) {
	m := &Model{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)),
		engines: map[string]*engine{}, computed: map[string]bool{}, result: newResult(),
	}
	catalog := api.NewCatalog(opts.Objects)
	for _, o := range catalog.Upstreams() {
		e := newEngine(m, o)
		m.engines[o.Name] = e
		m.engineList = append(m.engineList, e)
	}
	for i, s := range opts.Entries {
		cfg, err := opts.Chain(s)
		if err != nil {
			return nil, err
		}
		m.entries = append(m.entries, newEntry(m, i, s, cfg, catalog))
	}
	m.scheduleLoad()
	m.scheduleWaves()
	scale := opts.Scale
	if scale == 0 {
		scale = 1
	}
	for _, a := range opts.Profile.Arrivals(opts.Seed, scale) {
		m.at(a.At, func() { m.arrive(a) })
	}
	m.run(opts.Profile.Duration.Std() + drainTime)
	return m.result, nil
}

// arrive passes a request to the entry that the load balancer picks.
func (m *Model) arrive(a workload.Arrival) {
	e := m.entries[int(a.Pick*float64(len(m.entries)))]
	labels := api.Labels{"method": a.Stream.Method, "path": a.Stream.Path, "credential": m.opts.Credential(a.Token)}
	for k, v := range a.Stream.Labels {
		labels[k] = v
	}
	r := &request{arrival: a, id: fmt.Sprintf("%s-%d", a.Stream.Name, a.Number), start: m.now}
	m.result.arrived(r)
	e.requests[r.id] = r
	e.step(decision.RequestEvent{ID: r.id, Labels: labels, Prefix: a.Prefix()})
}

func (m *Model) scheduleLoad() {
	for i, e := range m.entries {
		m.at(time.Duration(i)*loadInterval/time.Duration(len(m.entries)), e.poll)
	}
	for _, g := range m.engineList {
		m.at(0, g.sample)
	}
	m.at(0, m.heartbeat)
}

// heartbeat sends the usage of every entry to the others.
func (m *Model) heartbeat() {
	for _, from := range m.entries {
		for _, to := range m.entries {
			if from != to {
				to.step(decision.UsageEvent{Peer: from.name, InFlight: from.core.Usage()})
			}
		}
	}
	m.after(heartbeatInterval, m.heartbeat)
}

func (m *Model) scheduleWaves() {
	for _, w := range m.opts.Profile.Waves {
		for _, g := range m.engineList {
			if g.spec.AvailabilityZone != w.AvailabilityZone || !strings.HasPrefix(g.spec.MachineClass, "reclaimable-gpu") {
				continue
			}
			for _, e := range m.entries {
				lag := time.Duration(m.rng.Int64N(int64(maxLeavingLag)))
				m.at(w.At.Std()+lag, func() { e.step(decision.LeavingEvent{Upstream: g.name, Leaving: true}) })
				m.at(w.At.Std()+w.Back.Std()+lag, func() { e.step(decision.LeavingEvent{Upstream: g.name}) })
			}
			m.at(w.At.Std()+w.Notice.Std(), g.terminate)
			m.at(w.At.Std()+w.Back.Std(), g.restart)
		}
	}
}

// at schedules f. Events with the same time run in the order of their scheduling.
func (m *Model) at(t time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, event{at: max(t, m.now), seq: m.seq, run: f})
}

func (m *Model) after(d time.Duration, f func()) { m.at(m.now+d, f) }

func (m *Model) run(end time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= end {
		ev := heap.Pop(&m.events).(event)
		m.now = ev.at
		ev.run()
	}
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
