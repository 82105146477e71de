//go:build bench

package bench

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/route"
	"jaylink/internal/bench/synthetic"
	"jaylink/kernel"
	"jaylink/plugin/standard"
)

// targetDecisionNs is the target for one routing decision with 710 upstreams.
const targetDecisionNs = 5000

// Measures one routing decision with its bookkeeping, at 0.1, 1 and 10 times the design
// size of 710 upstreams.
func TestFigureRouteDecision(t *testing.T) {
	sizes := []int{71, 710, 7100}
	ns := map[int]float64{}
	for _, n := range sizes {
		r := testing.Benchmark(func(b *testing.B) { benchmarkPick(b, n) })
		ns[n] = float64(r.NsPerOp())
		target := 0.0
		if n == 710 {
			target = targetDecisionNs
		}
		Print(
			Figure{fmt.Sprintf("route_decision_ns.%d", n), ns[n], "ns", target},
			Figure{fmt.Sprintf("route_decision_allocs.%d", n), float64(r.AllocsPerOp()), "allocations", 0},
		)
	}
	// A ratio of 1 is linear growth.
	Print(Figure{"route_decision_growth_71_to_7100", ns[7100] / ns[71] / 100, "ratio", 1})
}

func benchmarkPick(b *testing.B, n int) {
	cfg, err := standard.Chain("z0", "r0", standard.Order)
	require.NoError(b, err)
	table := route.NewTable(cfg.Filters, cfg.Scorers)
	table.SetObjects(synthetic.Upstreams(n))
	sel, err := api.ParseSelector("pool=p")
	require.NoError(b, err)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &route.Request{Class: api.ClassInteractive, Upstreams: sel, Zone: "z0", Region: "r0", Prefix: 1}
	table.Pick(now, r)
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		r.Prefix, r.Seed = i%500+1, i
		u := table.Pick(now, r)
		table.Started(u.Name, r.Prefix)
		table.Ended(now, u.Name, false)
	}
}

// Measures the memory of the decision core per upstream and per request.
func TestFigureCoreMemory(t *testing.T) {
	perUpstream := bytesPerItem(71, 7100, func(n int) any {
		cfg, err := standard.Chain("z0", "r0", standard.Order)
		require.NoError(t, err)
		table := route.NewTable(cfg.Filters, cfg.Scorers)
		table.SetObjects(synthetic.Upstreams(n))
		sel, err := api.ParseSelector("pool=p")
		require.NoError(t, err)
		table.Candidates(sel)
		return table
	})
	perRequest := bytesPerItem(100, 10000, func(n int) any {
		cfg, err := standard.Chain("z0", "r0", []kernel.ModuleID{"filter.capacity", "scorer.load"})
		require.NoError(t, err)
		core := decision.New(cfg)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		core.Step(now, decision.ConfigEvent{Catalog: api.NewCatalog(waitingObjects(t))})
		for i := range n {
			core.Step(now, decision.RequestEvent{ID: fmt.Sprintf("%032d.entry", i), Labels: api.Labels{"app": "g"}})
		}
		return core
	})
	Print(
		Figure{"core_bytes_per_upstream", perUpstream, "bytes", 0},
		Figure{"core_bytes_per_request", perRequest, "bytes", 0},
	)
}

func waitingObjects(t *testing.T) []*api.Object {
	sources, err := api.DecodeYAML("objects.yaml", []byte(cpuTimeObjects))
	require.NoError(t, err)
	var list []*api.Object
	for _, s := range sources {
		list = append(list, s.Object)
	}
	return list
}

// bytesPerItem returns the heap bytes per additional item between two sizes.
func bytesPerItem(from, to int, build func(n int) any) float64 {
	return (heapBytes(to, build) - heapBytes(from, build)) / float64(to-from)
}

func heapBytes(n int, build func(n int) any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build(n)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
