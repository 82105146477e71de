package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

var opts = Options{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}

// Load pattern: an upstream fails every request, so each of them is retried.
// All entries together stay within the limit in every window.
func TestRepeatsStayInsideTheBound(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = New(opts)
		}
		const step = 100 * time.Millisecond
		const steps = 400
		firstAttempts, retries := make([]int, steps), make([]int, steps)
		now := time.Unix(1000, 0)
		for i := range steps {
			now = now.Add(step)
			for _, b := range budgets {
				n := rapid.IntRange(0, 4).Draw(t, "firsts")
				for range n {
					b.RecordFirstAttempt(now)
				}
				firstAttempts[i] += n
				for range rapid.IntRange(0, 6).Draw(t, "wanted") {
					if b.Take(now, entries) {
						retries[i]++
					}
				}
			}
		}
		window := int(opts.Window / step)
		sum := func(counts []int, end int) int {
			total := 0
			for i := max(end-window, 0); i < end; i++ {
				total += counts[i]
			}
			return total
		}
		for end := window; end < steps; end++ {
			// First attempts count in the window itself, in the one before it,
			// or in the one half a window before it.
			maxFirstAttempts := max(sum(firstAttempts, end), sum(firstAttempts, end-window/2), sum(firstAttempts, end-window))
			require.LessOrEqual(t, float64(sum(retries, end)), opts.Ratio*float64(maxFirstAttempts)+opts.Extra)
		}
	})
}

// An idle service may retry from its share of the fixed extra.
func TestExtraIsSharedByEntries(t *testing.T) {
	b := New(opts)
	now := time.Unix(1000, 0)
	n := 0
	for b.Take(now, 8) {
		n++
	}
	require.Equal(t, 5, n)
	require.True(t, b.Take(now.Add(opts.Window+time.Second), 8))
}

// A retry that is not made after all must not count against the budget, also if the window has
// moved since it was taken.
func TestRetryThatWasNotMadeStaysTaken(t *testing.T) {
	b := New(Options{Extra: 5, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	takeAll := func() (n int) {
		for b.Take(now, 1) {
			n++
		}
		return n
	}
	require.Equal(t, 4, takeAll())
	b.GiveBack(now)
	require.Equal(t, 1, takeAll())
	now = now.Add(3 * time.Second)
	b.GiveBack(now)
	require.Equal(t, 1, takeAll())
	// There is nothing to give back once all that was taken has left the window.
	now = now.Add(time.Minute)
	b.GiveBack(now)
	require.Equal(t, 4, takeAll())
}
