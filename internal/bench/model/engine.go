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

// Parameters of a simulated engine.
const (
	tokenInterval        = 25 * time.Millisecond         // between tokens, for a single run
	tokenIntervalPerRun  = time.Millisecond              // added for each other run in the batch
	prefillPerToken      = 400 * time.Microsecond        // per prompt token that is not cached
	cacheTokens          = 32000                         // size of the prefix cache
	engineQueue          = 64                            // maximum number of waiting requests; more are refused
	tokensPerBatchUpdate = 4                             // tokens until the interval is computed again
	loadLag              = 500 * time.Millisecond        // age of reported load
	sampleInterval       = 100 * time.Millisecond        // of the load history
	samples              = int(loadLag / sampleInterval) // length of the history
	eventLag             = time.Second                   // delay until an entry receives a cache event
	eventLoss            = 0.1                           // share of cache events that are lost
	serviceTime          = 5 * time.Millisecond          // of a plain service
)

// engine is one simulated upstream.
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

// accept starts, queues or refuses an attempt.
func (g *engine) accept(r *run) {
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

// prefill returns the number of prompt tokens to compute. It also counts as recomputed
// those that some engine had computed before.
func (g *engine) prefill(q *request) int {
	s := q.arrival.Stream
	uniqueTokens := s.PromptTokens + q.generated
	cached := 0
	if g.cache.touch(q.arrival.Template) {
		cached += s.TemplateTokens
	}
	if g.cache.touch(q.id) {
		cached += uniqueTokens
	}
	computedBefore := 0
	if g.m.computed[q.arrival.Template] {
		computedBefore += s.TemplateTokens
	}
	if q.prefilled {
		computedBefore += uniqueTokens
	}
	q.prefilled = true
	g.m.computed[q.arrival.Template] = true
	g.cache.add(q.arrival.Template, s.TemplateTokens)
	g.cache.add(q.id, uniqueTokens)
	g.publish(route.CacheReport{Stored: []uint64{q.arrival.Prefix()}, Dropped: g.cache.takeDropped()})
	g.m.result.Recomputed += max(0, computedBefore-cached)
	return s.TemplateTokens + uniqueTokens - cached
}

// publish sends a cache event to every entry with a delay. Some events are lost.
func (g *engine) publish(r route.CacheReport) {
	for _, e := range g.m.entries {
		if g.m.rng.Float64() < eventLoss {
			continue
		}
		g.m.after(eventLag, func() { e.step(decision.CacheEvent{Upstream: g.name, Report: r}) })
	}
}

// generate generates the next tokens of a run.
func (g *engine) generate(r *run) {
	if r.ended {
		return
	}
	interval := tokenInterval + time.Duration(len(g.running)-1)*tokenIntervalPerRun
	left := r.req.arrival.Answer - r.req.generated
	n := min(tokensPerBatchUpdate, left)
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
	// The answer stays in the cache until it is evicted.
	g.cache.add(r.req.id, r.req.arrival.Stream.PromptTokens+r.req.generated)
	g.end(r, decision.OutcomeDone, reason.RanYes)
}

// end ends a run, bills it and starts waiting runs.
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

// terminate ends the host and all its runs.
func (g *engine) terminate() {
	g.dead = true
	for _, r := range slices.Concat(g.running, g.waiting) {
		o := decision.OutcomeNoAnswer
		if r.req.generated > 0 {
			o = decision.OutcomeBroken
		}
		g.end(r, o, reason.RanUnknown)
	}
}

// restart replaces the host with a new one whose cache is empty.
func (g *engine) restart() {
	g.dead = false
	g.cache = cache{}
}

// sample records the load in the history.
func (g *engine) sample() {
	g.history[g.next] = route.Load{Running: len(g.running), Queued: len(g.waiting)}
	g.next = (g.next + 1) % samples
	g.m.after(sampleInterval, g.sample)
}

// report returns the load as of loadLag ago.
func (g *engine) report() route.Load { return g.history[g.next] }

// cache is a prefix cache with LRU eviction.
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

func (c *cache) touch(key string) bool {
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
