package model

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/decision/route"
)

// What a fake engine is like.
const (
	tokenBase       = 25 * time.Millisecond         // between tokens, alone
	tokenPerRun     = time.Millisecond              // more for each other run of the batch
	prefillPerToken = 400 * time.Microsecond        // prompt tokens that are not cached
	cacheTokens     = 32000                         // prefix memory
	engineQueue     = 64                            // requests that wait; more are refused
	tokensPerStep   = 4                             // tokens between two looks at the batch
	loadLag         = 500 * time.Millisecond        // age of reported load
	sampleInterval  = 100 * time.Millisecond        // of the load history
	samples         = int(loadLag / sampleInterval) // length of the history
	eventLag        = time.Second                   // until an entry has a cache event
	eventLoss       = 0.1                           // share of cache events that are lost
	serviceTime     = 5 * time.Millisecond          // of a plain service
)

// engine is one fake upstream.
type engine struct {
	m       *Model
	name    string
	spec    *api.UpstreamSpec
	slots   int
	dead    bool
	running []*run
	waiting []*run
	history [samples]route.Load
	next    int
	cache   cache
}

// run is one attempt on an engine.
type run struct {
	entry   *entry
	req     *request
	attempt int
	engine  *engine
	begun   time.Duration
	started bool
	ended   bool
}

func newEngine(m *Model, o *api.Object) *engine {
	spec := o.Spec.(*api.UpstreamSpec)
	slots := spec.Slots
	if slots == 0 {
		slots = api.DefaultSlots
	}
	return &engine{m: m, name: o.Name, spec: spec, slots: slots}
}

// take starts an attempt, lets it wait or refuses it.
func (g *engine) take(r *run) {
	switch {
	case r.ended:
	case g.dead:
		g.end(r, decision.OutcomeConnectFailed, reason.RanNo)
	case len(g.running) < g.slots:
		g.start(r)
	case len(g.waiting) < engineQueue:
		g.waiting = append(g.waiting, r)
	default:
		g.end(r, decision.OutcomeBusy, reason.RanNo)
	}
}

func (g *engine) start(r *run) {
	r.started = true
	r.begun = g.m.now
	g.running = append(g.running, r)
	if g.spec.Protocol == api.ProtocolHTTP {
		g.m.after(serviceTime, func() { g.finish(r) })
		return
	}
	g.m.after(time.Duration(g.prefill(r.req))*prefillPerToken, func() { g.generate(r) })
}

// prefill returns how many tokens must be computed, and counts those among
// them that some engine had computed before.
func (g *engine) prefill(q *request) int {
	s := q.arrival.Stream
	own := s.PromptTokens + q.generated
	cached := 0
	if g.cache.use(q.arrival.Template) {
		cached += s.TemplateTokens
	}
	if g.cache.use(q.id) {
		cached += own
	}
	before := 0
	if g.m.computed[q.arrival.Template] {
		before += s.TemplateTokens
	}
	if q.prefilled {
		before += own
	}
	q.prefilled = true
	g.m.computed[q.arrival.Template] = true
	g.cache.add(q.arrival.Template, s.TemplateTokens)
	g.cache.add(q.id, own)
	g.publish(route.CacheReport{Stored: []uint64{q.arrival.Prefix()}, Dropped: g.cache.takeDropped()})
	g.m.result.Recomputed += max(0, before-cached)
	return s.TemplateTokens + own - cached
}

// publish sends a cache event to every entry, late or not at all.
func (g *engine) publish(r route.CacheReport) {
	for _, e := range g.m.entries {
		if g.m.rng.Float64() < eventLoss {
			continue
		}
		g.m.after(eventLag, func() { e.step(decision.CacheEvent{Upstream: g.name, Report: r}) })
	}
}

// generate produces the next tokens of a run.
func (g *engine) generate(r *run) {
	if r.ended {
		return
	}
	interval := tokenBase + time.Duration(len(g.running)-1)*tokenPerRun
	left := r.req.arrival.Answer - r.req.generated
	n := min(tokensPerStep, left)
	if r.req.generated == 0 {
		n = 1
	}
	g.m.after(time.Duration(n)*interval, func() {
		if r.ended {
			return
		}
		r.req.token(g.m.now, n)
		if r.req.generated >= r.req.arrival.Answer {
			g.finish(r)
			return
		}
		g.generate(r)
	})
}

func (g *engine) finish(r *run) {
	if r.ended {
		return
	}
	// The answer stays in memory until its place is needed.
	g.cache.add(r.req.id, r.req.arrival.Stream.PromptTokens+r.req.generated)
	g.end(r, decision.OutcomeDone, reason.RanYes)
}

// end ends a run, bills it and lets the next one in.
func (g *engine) end(r *run, o decision.Outcome, ran reason.Ran) {
	r.ended = true
	if r.started {
		g.m.result.bill(r, g.m.now-r.begun)
		g.running = slices.DeleteFunc(g.running, func(x *run) bool { return x == r })
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(x *run) bool { return x == r })
	g.m.after(r.entry.latency(g), func() { r.entry.ended(r, o, ran) })
	for !g.dead && len(g.waiting) > 0 && len(g.running) < g.slots {
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		g.start(next)
	}
}

// die ends the host and all its runs.
func (g *engine) die() {
	g.dead = true
	for _, r := range slices.Concat(g.running, g.waiting) {
		o := decision.OutcomeNoAnswer
		if r.req.generated > 0 {
			o = decision.OutcomeBroken
		}
		g.end(r, o, reason.RanUnknown)
	}
}

// restart puts a new host in the place of the old one.
func (g *engine) restart() {
	g.dead = false
	g.cache = cache{}
}

// sample keeps the history of the load.
func (g *engine) sample() {
	g.history[g.next] = route.Load{Running: len(g.running), Queued: len(g.waiting)}
	g.next = (g.next + 1) % samples
	g.m.after(sampleInterval, g.sample)
}

// report is the load as it was a lag ago.
func (g *engine) report() route.Load { return g.history[g.next] }

// cache is a prefix memory; the longest unused entry goes first.
type cache struct {
	keys    []string
	tokens  []int
	size    int
	dropped []uint64 // hashes of keys, since the last cache event
}

func (c *cache) takeDropped() []uint64 {
	list := c.dropped
	c.dropped = nil
	return list
}

func (c *cache) use(key string) bool {
	i := slices.Index(c.keys, key)
	if i < 0 {
		return false
	}
	c.add(key, c.tokens[i])
	return true
}

func (c *cache) add(key string, tokens int) {
	if i := slices.Index(c.keys, key); i >= 0 {
		c.drop(i)
	}
	c.keys = append(c.keys, key)
	c.tokens = append(c.tokens, tokens)
	c.size += tokens
	for c.size > cacheTokens {
		c.dropped = append(c.dropped, xxhash.Sum64String(c.keys[0]))
		c.drop(0)
	}
}

func (c *cache) drop(i int) {
	c.size -= c.tokens[i]
	c.keys = slices.Delete(c.keys, i, i+1)
	c.tokens = slices.Delete(c.tokens, i, i+1)
}
