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
	regions      = map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	modelService = &serving.Service{Name: "lm", Engine: &serving.Engine{Slots: 24, CacheTokens: 444_000}}
	plainService = &serving.Service{Name: "desk"}
	start        = time.Unix(1000, 0)
)

func upstreams(service string, zones ...string) []serving.Upstream {
	var list []serving.Upstream
	for i, zone := range zones {
		list = append(list, serving.Upstream{
			ID: fmt.Sprintf("u%d", i), Service: service, Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Slots: 6, StartMillis: 1,
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

func TestPickAvoidsUnsuitableUpstreams(t *testing.T) {
	list := upstreams("desk", "a1", "a1", "a2", "b1")
	cases := map[string]struct {
		prepare func(*Table)
		tried   []string
		want    string
	}{
		"same zone, least loaded": {func(tb *Table) { tb.SetPeerLoads("e", map[string]Load{"u0": {Running: 5}}) }, nil, "u1"},
		"skips tried upstreams":   {func(*Table) {}, []string{"u0", "u1"}, "u2"},
		"skips draining upstreams": {func(tb *Table) {
			drained := upstreams("desk", "a1", "a1", "a2", "b1")
			drained[0].Draining, drained[1].Draining = true, true
			tb.SetUpstreams(drained)
		}, nil, "u2"},
		"prefers another region to a long queue": {func(tb *Table) {
			tb.SetPeerLoads("e", map[string]Load{"u0": {Running: 40}, "u1": {Running: 40}, "u2": {Running: 40}})
		}, nil, "u3"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tb := newTestTable(list)
			c.prepare(tb)
			choice, ok := tb.Pick(start, &Request{Service: plainService, Zone: "a1", Tried: c.tried})
			require.True(t, ok)
			require.Equal(t, c.want, choice.Upstream.ID)
		})
	}
}

// Load pattern: one entry gets far more traffic than the others. It must leave them
// their share of each upstream's connections.
func TestMaxRunningLimitsOneEntry(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1", "b1"))
	r := &Request{Service: plainService, Zone: "a1", MaxRunning: 3}
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

func TestPickWithoutUsableUpstream(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1"))
	_, ok := tb.Pick(start, &Request{Service: plainService, Zone: "a1", Tried: []string{"u0"}})
	require.False(t, ok)
	_, ok = tb.Pick(start, &Request{Service: modelService, Zone: "a1"})
	require.False(t, ok)
}

// An entry that receives no loads from other entries relies on the upstreams' own
// reports, but only while they are recent.
func TestUpstreamReportCountsWhileFresh(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1", "a2"))
	pick := func(now time.Time) string {
		choice, ok := tb.Pick(now, &Request{Service: plainService, Zone: "a1"})
		require.True(t, ok)
		return choice.Upstream.ID
	}
	require.Equal(t, "u0", pick(start))
	tb.ReportRequests(start, "u0", 30)
	require.Equal(t, "u1", pick(start))
	require.Equal(t, "u0", pick(start.Add(time.Second)))
}

// Entries that exchange no information must send a shared prefix to the same upstream
// of their region.
func TestSharedPrefixHasOneHomeInARegion(t *testing.T) {
	list := upstreams("lm", "a1", "a1", "a2", "a2", "b1", "b1")
	for hash := range uint64(50) {
		shared := serving.Part{Hash: hash*7919 + 1, Tokens: 5000}
		homes := map[string]bool{}
		for _, zone := range []string{"a1", "a2"} {
			choice, ok := newTestTable(list).Pick(start, &Request{Service: modelService, Zone: zone, Prompt: prompt(500, shared)})
			require.True(t, ok)
			require.NotEqual(t, "b1", choice.Upstream.Zone)
			homes[choice.Upstream.ID] = true
		}
		require.Len(t, homes, 1)
	}
}

// Load pattern: one prefix gets most of the traffic. It must spill over to other
// upstreams once its home's queue costs more than computing the prefix again, so that
// no upstream stays idle while another has several times its load.
func TestHotPrefixSpillsOver(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1", "a1", "a1", "a1"))
	shared := serving.Part{Hash: 77, Tokens: 5000}
	sent := map[string]int{}
	for range 40 {
		p := prompt(1000, shared)
		choice, ok := tb.Pick(start, &Request{Service: modelService, Zone: "a1", Prompt: p})
		require.True(t, ok)
		tb.Start(start, choice, p)
		sent[choice.Upstream.ID]++
	}
	require.Len(t, sent, 4)
	for id, n := range sent {
		require.LessOrEqual(t, n, 20, id)
	}
}

// A prompt that was sent some time ago is partly processed, so it must add less to the
// predicted wait of later requests.
func TestRunningPrefillCountsOnlyRemainingTokens(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1"))
	p := prompt(20_000)
	choice, _ := tb.Pick(start, &Request{Service: modelService, Zone: "a1", Prompt: p})
	tb.Start(start, choice, p)
	probe := &Request{Service: modelService, Zone: "a1", Prompt: prompt(100)}
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

// Load pattern: one upstream fails 45% of its requests while the others are healthy. It
// must get a small share of the traffic, and more again once it has recovered.
func TestGreyUpstreamGetsLess(t *testing.T) {
	tb := newTestTable(upstreams("desk", "a1", "a1", "a1"))
	rng := rand.New(rand.NewPCG(3, 4))
	trafficShare := func(from time.Time, failing bool) float64 {
		hits := 0
		const n = 600
		for i := range n {
			now := from.Add(time.Duration(i) * 20 * time.Millisecond)
			choice, ok := tb.Pick(now, &Request{Service: plainService, Zone: "a1"})
			require.True(t, ok)
			ticket := tb.Start(now, choice, nil)
			outcome := Answered
			if choice.Upstream.ID == "u0" {
				hits++
				if failing && rng.Float64() < 0.45 {
					outcome = Failed
				}
			}
			tb.End(now.Add(15*time.Millisecond), ticket, outcome)
		}
		return float64(hits) / n
	}
	require.Less(t, trafficShare(start, true), 0.15)
	require.Greater(t, trafficShare(start.Add(time.Hour), false), 0.25)
}

// However attempts end, and even if FirstEvent and End are called twice, no load must
// remain afterwards.
func TestLoadIsReleasedOnce(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1", "a2"))
	outcomes := []Outcome{Answered, Declined, Failed, Unreachable, Abandoned}
	for i := range 200 {
		p := prompt(100 + i)
		now := start.Add(time.Duration(i) * time.Second)
		choice, ok := tb.Pick(now, &Request{Service: modelService, Zone: "a1", Prompt: p})
		require.True(t, ok)
		ticket := tb.Start(now, choice, p)
		if i%2 == 0 {
			tb.FirstEvent(now, ticket)
			tb.FirstEvent(now, ticket)
		}
		tb.End(now, ticket, outcomes[i%len(outcomes)])
		tb.End(now, ticket, Answered)
	}
	require.Empty(t, tb.Loads(start))
	require.Equal(t, Load{}, tb.Total("lm"))
	for _, s := range tb.states {
		require.Empty(t, s.prefilling)
	}
}

// An upstream that restarts under the same ID must start with an empty cache and no load.
func TestRebornUpstreamIsNew(t *testing.T) {
	list := upstreams("lm", "a1")
	tb := newTestTable(list)
	shared := serving.Part{Hash: 5, Tokens: 4000}
	p := prompt(10, shared)
	choice, _ := tb.Pick(start, &Request{Service: modelService, Zone: "a1", Prompt: p})
	tb.Start(start, choice, p)
	require.True(t, tb.states["u0"].cache.has(5))
	list[0].StartMillis = 2
	tb.SetUpstreams(list)
	require.False(t, tb.states["u0"].cache.has(5))
	require.Equal(t, Load{}, tb.Total("lm"))
}

// The prefill rate is learned from observations on idle upstreams, within bounds.
func TestSpeedIsLearned(t *testing.T) {
	est := &speedEstimate{tokensPerMs: initialTokensPerMs, baseMs: initialBaseMs}
	for range 400 {
		est.observePrefill(100, 50*time.Millisecond)
		est.observePrefill(8000, 250*time.Millisecond)
	}
	require.InDelta(t, 40, est.tokensPerMs, 4)
	est.observePrefill(5000, 0)
	require.LessOrEqual(t, est.tokensPerMs, float64(maxTokensPerMs))
}

func BenchmarkPick(b *testing.B) {
	zones := make([]string, 710)
	for i := range zones {
		zones[i] = []string{"a1", "a2", "b1"}[i%3]
	}
	tb := newTestTable(upstreams("lm", zones...))
	p := prompt(6000, serving.Part{Hash: 1, Tokens: 500}, serving.Part{Hash: 2, Tokens: 5000})
	r := &Request{Service: modelService, Zone: "a1", Prompt: p}
	b.ReportAllocs()
	for b.Loop() {
		tb.Pick(start, r)
	}
}

// Load pattern: a calm recorded day of sff-jaylink. A prompt of 50,000 tokens that is
// alone on its engine is not processed sooner by more engines, so it must not count
// towards PrefillTime, which leads to orders for more upstreams. Prompts that wait for
// each other must count.
func TestReadingTimeIgnoresPromptAloneOnItsEngine(t *testing.T) {
	tb := newTestTable(upstreams("lm", "a1", "a2", "b1"))
	tb.SetPeerLoads("e", map[string]Load{"u0": {Running: 1, PrefillTokens: 50_000}})
	require.Zero(t, tb.PrefillTime("lm"))
	tb.SetPeerLoads("e", map[string]Load{"u0": {Running: 1, PrefillTokens: 50_000}, "u1": {Running: 3, PrefillTokens: 30_000}})
	want := float64(30_000) / tb.TokensPerMs("lm")
	require.InDelta(t, want, float64(tb.PrefillTime("lm"))/float64(time.Millisecond), 1)
}
