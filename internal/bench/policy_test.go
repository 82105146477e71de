package bench

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/bench/model"
)

const examples = "../../examples"

// seeds are those that the compared figures are the sum of.
var seeds = []uint64{1, 2, 3}

// total is the sum of the runs of one chain.
type total struct {
	cost, link                  float64
	arrived, within, recomputed int
	refused                     int
}

func (t total) costPerAnswer() float64 { return t.cost / float64(max(t.within, 1)) }
func (t total) share() float64         { return float64(t.within) / float64(max(t.arrived, 1)) }

func runChain(t *testing.T, d Deployment, c Chain) total {
	t.Helper()
	var sum total
	for _, seed := range seeds {
		opts, err := d.Options(examples, c, seed)
		require.NoError(t, err)
		r, err := model.Run(opts)
		require.NoError(t, err)
		arrived, within := r.Generated()
		sum.arrived += arrived
		sum.within += within
		sum.cost += r.Cost
		sum.link += r.LinkBytes
		sum.recomputed += r.Recomputed
		for _, n := range r.Reasons {
			sum.refused += n
		}
	}
	return sum
}

// The standard chain is compared with both baselines on the same arrivals.
func TestFigurePolicyAgainstBaselines(t *testing.T) {
	for _, d := range Deployments {
		name := strings.ReplaceAll(d.Name, "-", "_")
		ours, rr, ll := runChain(t, d, Standard), runChain(t, d, RoundRobin), runChain(t, d, LeastLoaded)
		Print(
			Figure{"cost_ratio_vs_least_loaded." + name, ours.costPerAnswer() / ll.costPerAnswer(), "ratio", 0.6},
			Figure{"cost_ratio_vs_round_robin." + name, ours.costPerAnswer() / rr.costPerAnswer(), "ratio", 0.6},
			Figure{"recomputed_ratio_vs_least_loaded." + name, float64(ours.recomputed) / float64(ll.recomputed), "ratio", 0.1},
		)
		for c, s := range map[Chain]total{Standard: ours, RoundRobin: rr, LeastLoaded: ll} {
			fmt.Printf("\nfigure within_target_share.%s.%s %.4f share\n", name, c, s.share())
			t.Logf("%s %s: %+v cost/answer %.3g", name, c, s, s.costPerAnswer())
		}
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
