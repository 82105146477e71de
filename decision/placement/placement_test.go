package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/serving"
)

var (
	regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	engine  = &serving.Service{Name: "lm", Engine: &serving.Engine{Slots: 24, Memory: 444_000}}
	desk    = &serving.Service{Name: "desk"}
	start   = time.Unix(1000, 0)
)

func upstreams(service string, zones ...string) []serving.Upstream {
	var list []serving.Upstream
	for i, zone := range zones {
		list = append(list, serving.Upstream{
			ID: fmt.Sprintf("u%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Slots: 6, Born: 1,
		})
	}
	return list
}

func newTestTable(list []serving.Upstream) *Table {
	t := NewTable(regions)
	t.SetUpstreams(list)
	return t
}

func prompt(own int, shared ...serving.Part) *serving.Prompt {
	p := &serving.Prompt{Model: "m", Input: own, MaxOutput: 100, Parts: append([]serving.Part{}, shared...)}
	for _, part := range shared {
		p.Input += part.Tokens
	}
	p.Parts = append(p.Parts, serving.Part{Hash: rand.Uint64(), Tokens: own})
	return p
}

func TestPickAvoidsWhatCannotTakeARequest(t *testing.T) {
	list := upstreams("desk", "a1", "a1", "a2", "b1")
	cases := map[string]struct {
		prepare func(*Table)
		tried   []string
		want    string
	}{
		"nearest with the least work": {func(tb *Table) { tb.Hear("e", map[string]Load{"u0": {Running: 5}}) }, nil, "u1"},
		"not one that was tried":      {func(*Table) {}, []string{"u0", "u1"}, "u2"},
		"not one that drains": {func(tb *Table) {
			drained := upstreams("desk", "a1", "a1", "a2", "b1")
			drained[0].Draining, drained[1].Draining = true, true
			tb.SetUpstreams(drained)
		}, nil, "u2"},
		"another region rather than a long queue": {func(tb *Table) {
			tb.Hear("e", map[string]Load{"u0": {Running: 40}, "u1": {Running: 40}, "u2": {Running: 40}})
		}, nil, "u3"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(list)
			c.prepare(tb)
			choice, ok := tb.Pick(start, &Request{Service: desk, Zone: "a1", Tried: c.tried})
			require.True(t, ok)
			require.Equal(t, c.want, choice.Upstream.ID)
		})
	}
}

// Load pattern: one entry gets far more of the traffic than the others. It leaves
// them their part of each upstream's connections.
func TestConnectionsAreShared(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1", "b1"))
	r := &Request{Service: desk, Zone: "a1", MaxRunning: 3}
	sent := map[string]int{}
	for range 6 {
		choice, ok := tb.Pick(start, r)
		require.True(t, ok)
		tb.Start(start, choice, nil)
		sent[choice.Upstream.ID]++
	}
	require.Equal(t, map[string]int{"u0": 3, "u1": 3}, sent)
	_, ok := tb.Pick(start, r)
	require.False(t, ok)
}

func TestNobodyToPick(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1"))
	_, ok := tb.Pick(start, &Request{Service: desk, Zone: "a1", Tried: []string{"u0"}})
	require.False(t, ok)
	_, ok = tb.Pick(start, &Request{Service: engine, Zone: "a1"})
	require.False(t, ok)
}

// An entry that hears nobody goes by what upstreams tell themselves, while it is new.
func TestUpstreamsOwnWordCountsWhileItIsNew(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1", "a2"))
	pick := func(now time.Time) string {
		choice, ok := tb.Pick(now, &Request{Service: desk, Zone: "a1"})
		require.True(t, ok)
		return choice.Upstream.ID
	}
	require.Equal(t, "u0", pick(start))
	tb.Told(start, "u0", 30)
	require.Equal(t, "u1", pick(start))
	require.Equal(t, "u0", pick(start.Add(time.Second)))
}

// Entries that know nothing of each other send a shared prefix to the same
// upstream of their region.
func TestSharedPrefixHasOneHomeInARegion(t *testing.T) {
	list := upstreams("lm", "a1", "a1", "a2", "a2", "b1", "b1")
	for hash := range uint64(50) {
		shared := serving.Part{Hash: hash*7919 + 1, Tokens: 5000}
		homes := map[string]bool{}
		for _, zone := range []string{"a1", "a2"} {
			choice, ok := newTestTable(list).Pick(start, &Request{Service: engine, Zone: zone, Prompt: prompt(500, shared)})
			require.True(t, ok)
			require.NotEqual(t, "b1", choice.Upstream.Zone)
			homes[choice.Upstream.ID] = true
		}
		require.Len(t, homes, 1)
	}
}

// Load pattern: one prefix gets most of the traffic. It spills over once its
// home's queue costs more than reading it again, and no upstream is left idle
// while another has several times its work.
func TestHotPrefixSpillsOver(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1", "a1", "a1", "a1"))
	shared := serving.Part{Hash: 77, Tokens: 5000}
	sent := map[string]int{}
	for range 40 {
		p := prompt(1000, shared)
		choice, ok := tb.Pick(start, &Request{Service: engine, Zone: "a1", Prompt: p})
		require.True(t, ok)
		tb.Start(start, choice, p)
		sent[choice.Upstream.ID]++
	}
	require.Len(t, sent, 4)
	for id, n := range sent {
		require.LessOrEqual(t, n, 20, id)
	}
}

// A prompt that was sent a while ago is partly read, so it holds up others less.
func TestWorkUnderWayCountsByWhatIsLeft(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1"))
	p := prompt(20_000)
	choice, _ := tb.Pick(start, &Request{Service: engine, Zone: "a1", Prompt: p})
	tb.Start(start, choice, p)
	probe := &Request{Service: engine, Zone: "a1", Prompt: prompt(100)}
	at := func(part float64) time.Duration {
		now := start.Add(time.Duration(part * float64(choice.Predicted)))
		c, ok := tb.Pick(now, probe)
		require.True(t, ok)
		return c.Predicted
	}
	require.Greater(t, at(0), at(0.5))
	require.Greater(t, at(0.5), at(0.9))
	require.Equal(t, at(2), at(3))
}

// Load pattern: an upstream fails part of its requests while others are sound.
// It gets a small part of the traffic, and more again once it is sound.
func TestGreyUpstreamGetsLess(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1", "a1", "a1"))
	rng := rand.New(rand.NewPCG(3, 4))
	share := func(from time.Time, grey bool) float64 {
		hits := 0
		const n = 600
		for i := range n {
			now := from.Add(time.Duration(i) * 20 * time.Millisecond)
			choice, ok := tb.Pick(now, &Request{Service: desk, Zone: "a1"})
			require.True(t, ok)
			ticket := tb.Start(now, choice, nil)
			outcome := Answered
			if choice.Upstream.ID == "u0" {
				hits++
				if grey && rng.Float64() < 0.45 {
					outcome = Failed
				}
			}
			tb.End(now.Add(15*time.Millisecond), ticket, outcome)
		}
		return float64(hits) / n
	}
	require.Less(t, share(start, true), 0.15)
	require.Greater(t, share(start.Add(time.Hour), false), 0.25)
}

// Whatever happens to attempts, the books balance at the end.
func TestWorkIsTakenBackOnce(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1", "a2"))
	outcomes := []Outcome{Answered, Declined, Failed, Unreachable, Abandoned}
	for i := range 200 {
		p := prompt(100 + i)
		now := start.Add(time.Duration(i) * time.Second)
		choice, ok := tb.Pick(now, &Request{Service: engine, Zone: "a1", Prompt: p})
		require.True(t, ok)
		k := tb.Start(now, choice, p)
		if i%2 == 0 {
			tb.FirstEvent(now, k)
			tb.FirstEvent(now, k)
		}
		tb.End(now, k, outcomes[i%len(outcomes)])
		tb.End(now, k, Answered)
	}
	require.Empty(t, tb.Loads(start))
	require.Equal(t, Load{}, tb.Total("lm"))
	for _, p := range tb.places {
		require.Empty(t, p.reading)
	}
}

// An instance that starts again under its ID holds nothing of before.
func TestRebornUpstreamIsNew(t *testing.T) {
	list := upstreams("lm", "a1")
	tb := newTestTable(list)
	shared := serving.Part{Hash: 5, Tokens: 4000}
	p := prompt(10, shared)
	choice, _ := tb.Pick(start, &Request{Service: engine, Zone: "a1", Prompt: p})
	tb.Start(start, choice, p)
	require.True(t, tb.places["u0"].cache.has(5))
	list[0].Born = 2
	tb.SetUpstreams(list)
	require.False(t, tb.places["u0"].cache.has(5))
	require.Equal(t, Load{}, tb.Total("lm"))
}

// The speed of reading is learned from idle upstreams, within bounds.
func TestSpeedIsLearned(t *testing.T) {
	s := &speed{tokensPerMs: assumedTokensPerMs, firstMs: assumedFirstMs}
	for range 400 {
		s.read(100, 50*time.Millisecond)
		s.read(8000, 250*time.Millisecond)
	}
	require.InDelta(t, 40, s.tokensPerMs, 4)
	s.read(5000, 0)
	require.LessOrEqual(t, s.tokensPerMs, float64(maxTokensPerMs))
}

func BenchmarkPick(b *testing.B) {
	zones := make([]string, 710)
	for i := range zones {
		zones[i] = []string{"a1", "a2", "b1"}[i%3]
	}
	tb := newTestTable(upstreams("lm", zones...))
	p := prompt(6000, serving.Part{Hash: 1, Tokens: 500}, serving.Part{Hash: 2, Tokens: 5000})
	r := &Request{Service: engine, Zone: "a1", Prompt: p}
	b.ReportAllocs()
	for b.Loop() {
		tb.Pick(start, r)
	}
}

// Load pattern: a calm day of sff-jaylink. A prompt of 50,000 tokens that is alone on its
// engine is not read sooner by more engines; prompts that wait for each other are.
func TestPromptAloneOnItsEngineOrdersMoreEngines(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1", "a2", "b1"))
	tb.Hear("e", map[string]Load{"u0": {Running: 1, Unread: 50_000}})
	require.Zero(t, tb.ReadingTime("lm"))
	tb.Hear("e", map[string]Load{"u0": {Running: 1, Unread: 50_000}, "u1": {Running: 3, Unread: 30_000}})
	want := float64(30_000) / tb.TokensPerMs("lm")
	require.InDelta(t, want, float64(tb.ReadingTime("lm"))/float64(time.Millisecond), 1)
}
