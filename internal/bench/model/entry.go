package model

import (
	"fmt"
	"time"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/reason"
)

// entry runs one decision core: it passes events to the core and executes its actions.
type entry struct {
	m        *Model
	name     string
	site     Site
	core     *decision.Core
	requests map[string]*request
	runs     map[string]*run
	nextWake time.Duration
}

func newEntry(m *Model, number int, s Site, cfg decision.Config, catalog *api.Catalog) *entry {
	e := &entry{m: m, name: fmt.Sprintf("entry-%d", number), site: s, core: decision.New(cfg), requests: map[string]*request{}, runs: map[string]*run{}}
	e.step(decision.ConfigEvent{Catalog: catalog})
	e.step(decision.EntriesEvent{Live: len(m.opts.Entries)})
	return e
}

func (e *entry) step(ev decision.Event) {
	now := epoch.Add(e.m.now)
	for _, a := range e.core.Step(now, ev) {
		e.execute(a)
	}
	next, ok := e.core.NextWake()
	at := next.Sub(epoch)
	if !ok || (e.nextWake > e.m.now && e.nextWake <= at) {
		return
	}
	e.nextWake = max(at, e.m.now+time.Millisecond)
	e.m.at(e.nextWake, func() { e.step(decision.TickEvent{}) })
}

func (e *entry) execute(a decision.Action) {
	switch a := a.(type) {
	case decision.DispatchAction:
		e.dispatch(a)
	case decision.ClaimAction:
		e.m.after(time.Millisecond, func() { e.step(decision.ClaimEvent{ID: a.ID, Result: decision.ClaimWon}) })
	case decision.CancelAction:
		if r := e.runs[a.ID]; r != nil && !r.ended {
			r.engine.end(r, decision.OutcomeCanceled, reason.RanUnknown)
		}
	case decision.FinishAction:
		e.m.result.finished(e.requests[a.ID], e.m.now)
	case decision.RefuseAction:
		e.m.result.refused(e.requests[a.ID], a.Reason)
	}
}

func (e *entry) dispatch(a decision.DispatchAction) {
	g := e.m.engines[a.Upstream]
	r := &run{entry: e, req: e.requests[a.ID], attempt: a.Attempt, engine: g}
	r.req.dispatches++
	e.runs[a.ID] = r
	e.m.after(e.latency(g), func() { g.accept(r) })
}

func (e *entry) ended(r *run, o decision.Outcome, ran reason.Ran) {
	e.step(decision.AttemptEvent{
		ID: r.req.id, Attempt: r.attempt, Upstream: r.engine.name, Outcome: o, Ran: ran,
		Relayed: r.req.generated, Resumable: r.req.arrival.Answer > 0, Jitter: e.m.rng.Float64(),
	})
}

// poll passes the reported loads of all upstreams to the core.
func (e *entry) poll() {
	now := epoch.Add(e.m.now)
	for _, g := range e.m.engineList {
		if g.dead {
			continue
		}
		load := g.report()
		load.At = now
		e.step(decision.LoadEvent{Upstream: g.name, Load: load})
	}
	e.m.after(loadInterval, e.poll)
}

func (e *entry) latency(g *engine) time.Duration {
	switch {
	case g.spec.Region != e.site.Region:
		return regionLatency
	case g.spec.AvailabilityZone != e.site.Zone:
		return zoneLatency
	}
	return 0
}
