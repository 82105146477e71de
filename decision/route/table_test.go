package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/api"
	"jaylink/decision/route"
	"jaylink/internal/bench/synthetic"
	"jaylink/internal/schedule"
	"jaylink/plugin/standard"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable(t testing.TB, n int) *route.Table {
	t.Helper()
	cfg, err := standard.Chain("z0", "r0", standard.Order)
	require.NoError(t, err)
	table := route.NewTable(cfg.Filters, cfg.Scorers)
	table.SetObjects(synthetic.Upstreams(n))
	return table
}

func request(t testing.TB, i uint64, class api.Class) *route.Request {
	t.Helper()
	sel, err := api.ParseSelector("pool=p")
	require.NoError(t, err)
	return &route.Request{
		Seed: i * 7919, Prefix: i + 1, Class: class, Upstreams: sel, Zone: "z0", Region: "r0",
		Accepted: now, Deadline: now.Add(time.Minute),
	}
}

// Pick must find a free upstream even if only a few in a large fleet are free and
// the sampled candidates contain none of them.
func TestPickFindsAnyFreeUpstream(t *testing.T) {
	schedule.Property(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(rt, "upstreams")
		table := newTable(t, n)
		free := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, min(n, 3), rapid.ID[int]).Draw(rt, "free")
		for _, name := range table.Names() {
			table.Report(name, route.Load{Running: 8, At: now})
		}
		for _, i := range free {
			table.Report(fmt.Sprintf("u%04d", i), route.Load{At: now})
		}
		class := rapid.SampledFrom(api.Classes).Draw(rt, "class")
		r := request(t, rapid.Uint64().Draw(rt, "seed"), class)
		// After this wait, the patience filter passes any free upstream.
		at := now.Add(30 * time.Second)
		u := table.Pick(at, r)
		require.Equal(rt, len(free) > 0, u != nil)
		if u != nil {
			require.Zero(rt, u.Load.Running)
		}
		require.Same(rt, u, table.Pick(at, r), "the same call must return the same upstream")
	})
}

// An unsuccessful search is cached. The cached result must not be used once an
// upstream has become free.
func TestFreedUpstreamIsFoundAgain(t *testing.T) {
	table := newTable(t, 3)
	for _, name := range table.Names() {
		table.Report(name, route.Load{Running: 8, At: now})
	}
	r := request(t, 1, api.ClassInteractive)
	require.Nil(t, table.Pick(now, r))
	require.Nil(t, table.Pick(now, r))
	table.Report("u0001", route.Load{At: now})
	require.Equal(t, "u0001", table.Pick(now, r).Name)
}

// Entries that share no state must select the same upstream for a prefix, whatever
// the seed of the request.
func TestEntriesAgreeOnAnUpstreamForAPrefix(t *testing.T) {
	a, b := newTable(t, 200), newTable(t, 200)
	for i := range uint64(100) {
		r, other := request(t, i, api.ClassInteractive), request(t, i, api.ClassInteractive)
		other.Seed = i * 31
		require.Equal(t, a.Pick(now, r).Name, b.Pick(now, other).Name)
	}
}

func TestPrefixStaysOnUpstreamUntilItLeaves(t *testing.T) {
	table := newTable(t, 40)
	r := request(t, 5, api.ClassInteractive)
	first := table.Pick(now, r)
	table.Started(first.Name, r.Prefix)
	require.Same(t, first, table.Pick(now, r))
	table.SetLeaving(first.Name, true)
	second := table.Pick(now, r)
	require.NotSame(t, first, second)
	table.Started(second.Name, r.Prefix)
	table.SetLeaving(first.Name, false)
	require.False(t, first.Holds(r.Prefix), "an upstream that returns must have an empty cache")
	require.Same(t, second, table.Pick(now, r))
}

func TestIncompleteCacheReports(t *testing.T) {
	table := newTable(t, 2)
	u := table.Get("u0000")
	table.ReportCache("u0000", route.CacheReport{Stored: []uint64{7, 8}})
	require.True(t, u.Holds(7))
	table.ReportCache("u0000", route.CacheReport{Dropped: []uint64{7, 99}})
	require.False(t, u.Holds(7))
	table.ReportCache("u0000", route.CacheReport{Cleared: true, Stored: []uint64{9}})
	require.False(t, u.Holds(8))
	require.True(t, u.Holds(9))
	table.ReportCache("unknown", route.CacheReport{Cleared: true})
}

func TestPickAllocatesNothing(t *testing.T) {
	table := newTable(t, 710)
	i := uint64(0)
	r := request(t, 0, api.ClassInteractive)
	table.Pick(now, r)
	allocs := testing.AllocsPerRun(1000, func() {
		i++
		r.Prefix, r.Seed = i%50+1, i
		u := table.Pick(now, r)
		table.Started(u.Name, r.Prefix)
		table.Ended(now, u.Name, false)
	})
	require.Zero(t, allocs)
}

func BenchmarkRouteDecision(b *testing.B) {
	for _, n := range []int{71, 710, 7100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := newTable(b, n)
			r := request(b, 0, api.ClassInteractive)
			table.Pick(now, r)
			b.ReportAllocs()
			i := uint64(0)
			for b.Loop() {
				i++
				r.Prefix, r.Seed = i%500+1, i
				u := table.Pick(now, r)
				table.Started(u.Name, r.Prefix)
				table.Ended(now, u.Name, false)
			}
		})
	}
}
