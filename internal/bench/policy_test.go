package bench

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/internal/bench/model"
)

const examples = "../../examples"

// seeds are the seeds of the runs over which the compared figures are summed.
var seeds = []uint64{1, 2, 3}

// chainTotals is the sum of the runs of one chain.
type chainTotals struct {
	cost, link                  float64
	arrived, within, recomputed int
	refused                     map[reason.Reason]int
}

func (t chainTotals) costPerAnswer() float64 { return t.cost / float64(max(t.within, 1)) }
func (t chainTotals) share() float64         { return float64(t.within) / float64(max(t.arrived, 1)) }

func runChain(t *testing.T, d Deployment, c Chain) chainTotals {
	sum := chainTotals{refused: map[reason.Reason]int{}}
	for _, seed := range seeds {
		opts, err := d.Options(examples, c, seed)
		if !assert.NoError(t, err) {
			return sum
		}
		r, err := model.Run(opts)
		if !assert.NoError(t, err) {
			return sum
		}
		arrived, within := r.Generated()
		sum.arrived += arrived
		sum.within += within
		sum.cost += r.Cost
		sum.link += r.LinkBytes
		sum.recomputed += r.Recomputed
		for why, n := range r.Reasons {
			sum.refused[why] += n
		}
	}
	return sum
}

// Compares the standard chain with both baselines on the same arrivals.
func TestFigurePolicyAgainstBaselines(t *testing.T) {
	for _, d := range Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			compare(t, d)
		})
	}
}

func compare(t *testing.T, d Deployment) {
	name := strings.ReplaceAll(d.Name, "-", "_")
	chains := []Chain{Standard, RoundRobin, LeastLoaded}
	totals := make([]chainTotals, len(chains))
	var wg sync.WaitGroup
	for i, c := range chains {
		wg.Go(func() { totals[i] = runChain(t, d, c) })
	}
	wg.Wait()
	std, rr, ll := totals[0], totals[1], totals[2]
	Print(
		Figure{"cost_ratio_vs_least_loaded." + name, std.costPerAnswer() / ll.costPerAnswer(), "ratio", 0.6},
		Figure{"cost_ratio_vs_round_robin." + name, std.costPerAnswer() / rr.costPerAnswer(), "ratio", 0.6},
		Figure{"recomputed_ratio_vs_least_loaded." + name, float64(std.recomputed) / float64(ll.recomputed), "ratio", 0.1},
	)
	for i, c := range chains {
		Print(Figure{fmt.Sprintf("within_target_share.%s.%s", name, c), totals[i].share(), "share", 0})
		t.Logf("%s %s: %+v cost/answer %.3g", name, c, totals[i], totals[i].costPerAnswer())
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	opts, err := Deployments[1].Options(examples, Standard, 7)
	require.NoError(t, err)
	a, err := model.Run(opts)
	require.NoError(t, err)
	b, err := model.Run(opts)
	require.NoError(t, err)
	require.Equal(t, a.Cost, b.Cost)
	require.Equal(t, a.Recomputed, b.Recomputed)
	require.Equal(t, a.Reasons, b.Reasons)
}
