//go:build bench

package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/route"
	"jaylink/internal/bench/synthetic"
	"jaylink/plugin/standard"
)

// targetDecisionNs is the target of one routing decision at 710 upstreams.
const targetDecisionNs = 5000

// One decision with its bookkeeping, at a tenth, once and ten times the size
// designed for.
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
	// 1 would be linear.
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
