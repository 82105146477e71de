package upstreamlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The platform's rule: from contactTime after the first statement of a limit, at most
// 1.5 times what it allows and 5 requests more in any 4 s.
const (
	ruleWindow  = 4 * time.Second
	ruleFactor  = 1.5
	ruleExtra   = 5
	contactTime = 3 * time.Second
	tellTime    = 500 * time.Millisecond
)

const (
	// modelStep is the resolution of the model's time.
	modelStep = 10 * time.Millisecond
	// modelLatency is the time from a request to its answer.
	modelLatency = 60 * time.Millisecond
	// modelDelay is the time that a message takes.
	modelDelay = 10 * time.Millisecond
	service    = uint32(7)
	// modelFanout is the number of entries that a change is sent to at once.
	modelFanout = 6
)

// modelEntry is an entry of the model fleet.
type modelEntry struct {
	name   string
	limits *Limits
	// rate is the requests per second of its callers.
	rate float64
	// frozen and down entries do nothing; cut ones exchange no messages.
	frozen, down, cut bool
	nextGossip        time.Time
	rotation          int
	served, refused   int
	// owed is the fraction of a request that is due.
	owed float64
}

// modelUpstream states a limit, nil for none, in every answer.
type modelUpstream struct {
	limit *float64
	sends []time.Time
	// told is when each process was first answered with a limit, and counted the sends
	// of processes that were told tellTime before and are not cut off.
	told    map[*Limits]time.Time
	counted []time.Time
}

// model is a fleet in virtual time.
type model struct {
	rng       *rand.Rand
	now       time.Time
	entries   []*modelEntry
	upstreams []*modelUpstream
	// events are the messages and answers under way, by the time at which they arrive.
	events map[time.Time][]func()
	// interval is the time between two gossip rounds of an entry, and fanout the number
	// of entries that a round reaches.
	interval time.Duration
	fanout   int
	level    func(e *modelEntry) int
	size     int
}

func newModel(seed uint64, entries, upstreams int, limit, rate float64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_790_000_000, 0), interval: 200 * time.Millisecond, fanout: 16, size: entries, events: map[time.Time][]func(){}}
	for i := range entries {
		e := &modelEntry{name: fmt.Sprintf("entry-%03d", i), rate: rate / float64(entries)}
		m.start(e)
		m.entries = append(m.entries, e)
	}
	for range upstreams {
		m.upstreams = append(m.upstreams, &modelUpstream{limit: &limit, told: map[*Limits]time.Time{}})
	}
	return m
}

// cycle returns the time in which an entry's messages reach all others.
func (m *model) cycle() time.Duration {
	return time.Duration((m.size-1+m.fanout-1)/m.fanout) * m.interval
}

// start starts a new process of an entry.
func (m *model) start(e *modelEntry) {
	e.limits = New(e.name)
	e.limits.SetFleet(m.size-1, m.cycle())
	e.nextGossip = m.now.Add(time.Duration(m.rng.Int64N(int64(m.interval))))
	e.down = false
}

// run advances the model.
func (m *model) run(span time.Duration) {
	for end := m.now.Add(span); m.now.Before(end); m.now = m.now.Add(modelStep) {
		m.deliver()
		for _, e := range m.entries {
			if !e.frozen && !e.down {
				m.step(e)
			}
		}
	}
}

// after schedules an event.
func (m *model) after(delay time.Duration, run func()) {
	at := m.now.Add(delay)
	m.events[at] = append(m.events[at], run)
}

func (m *model) deliver() {
	due := m.events[m.now]
	delete(m.events, m.now)
	for _, run := range due {
		run()
	}
}

func (m *model) step(e *modelEntry) {
	e.limits.Tick(m.now)
	if !m.now.Before(e.nextGossip) {
		e.nextGossip = m.now.Add(m.interval)
		m.gossip(e)
	}
	for e.owed += e.rate * modelStep.Seconds() * 2 * m.rng.Float64(); e.owed >= 1; e.owed-- {
		m.request(e)
	}
}

// gossip sends an entry's messages of one round.
func (m *model) gossip(e *modelEntry) {
	demand, news := e.limits.Demand(m.now), e.limits.News(m.now)
	for range min(m.fanout, len(m.entries)-1) {
		e.rotation = (e.rotation + 1) % len(m.entries)
		if m.entries[e.rotation] == e {
			e.rotation = (e.rotation + 1) % len(m.entries)
		}
		to := m.entries[e.rotation]
		if e.cut || to.cut {
			continue
		}
		m.after(modelDelay, func() {
			if to.frozen || to.down {
				return
			}
			to.limits.UpdatePeer(m.now, e.name, demand)
			m.merge(to, news)
		})
	}
}

// merge applies statements, and spreads them further if one was new.
func (m *model) merge(e *modelEntry, news []Statement) {
	isNew := false
	for _, s := range news {
		isNew = e.limits.Merge(m.now, s) != nil || isNew
	}
	if isNew {
		m.spread(e)
	}
}

// spread sends an entry's statements to some random entries at once.
func (m *model) spread(e *modelEntry) {
	news := e.limits.News(m.now)
	for range modelFanout {
		to := m.entries[m.rng.IntN(len(m.entries))]
		if to == e || e.cut || to.cut {
			continue
		}
		m.after(modelDelay, func() {
			if !to.frozen && !to.down {
				m.merge(to, news)
			}
		})
	}
}

// request handles one request of an entry's callers.
func (m *model) request(e *modelEntry) {
	e.limits.CountRequest(m.now, service)
	level := 0
	if m.level != nil {
		level = m.level(e)
	}
	for i := range m.upstreams {
		at := (i + e.served) % len(m.upstreams)
		limit := e.limits.Of(instance(at))
		if limit != nil {
			if !e.limits.Available(m.now, limit, service, level) {
				continue
			}
			e.limits.Take(limit)
		}
		m.send(e, at)
		e.served++
		return
	}
	e.refused++
}

func instance(i int) uint64 { return uint64(i+1) * 0x9e3779b97f4a7c55 }

// send sends a request to an upstream, which answers with its limit.
func (m *model) send(e *modelEntry, i int) {
	u := m.upstreams[i]
	u.sends = append(u.sends, m.now)
	if told, ok := u.told[e.limits]; ok && !e.cut && m.now.Sub(told) >= tellTime {
		u.counted = append(u.counted, m.now)
	}
	sent, process := m.now, e.limits
	m.after(modelLatency, func() {
		if process == e.limits && !e.frozen && !e.down {
			if _, ok := u.told[process]; !ok && u.limit != nil {
				u.told[process] = m.now
			}
			if process.Answer(instance(i), u.limit, sent, m.now) != nil {
				m.spread(e)
			}
		}
	})
}

// worstWindow returns the most requests of a list in any window of the rule from a time on.
func worstWindow(sends []time.Time, from time.Time) int {
	worst, first := 0, 0
	for i, at := range sends {
		for first < i && (sends[first].Before(from) || at.Sub(sends[first]) >= ruleWindow) {
			first++
		}
		if !sends[first].Before(from) {
			worst = max(worst, i-first+1)
		}
	}
	return worst
}

func allowed(limit float64) int {
	return int(math.Floor(ruleFactor*limit*ruleWindow.Seconds() + ruleExtra))
}

// countSince returns the number of sends from a time on.
func countSince(sends []time.Time, from time.Time) int {
	n := 0
	for _, at := range sends {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

func (m *model) totals() (served, refused int) {
	for _, e := range m.entries {
		served += e.served
		refused += e.refused
	}
	return served, refused
}
