// Package budget bounds how often requests are sent to upstreams again. It is
// pure: times are the caller's.
//
// The bound holds for all entries together and over any window. Each entry
// spends only what its own first attempts of the last window have earned, and
// an equal share of the fixed extra, so no entry needs to know what another
// spends. Load patterns answered: an upstream that fails everything, callers
// that repeat at once, and a wave of broken streams.
package budget

import "time"

// slices is how many steps the window moves in.
const slices = 10

// margin is the part of the bound that is spent; the rest covers attempts under
// way at the edges of windows and entries that restart.
const margin = 0.8

// Options are the platform's bound.
type Options struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Budget is one entry's part of one service's budget.
type Budget struct {
	opts    Options
	firsts  [slices]int
	repeats [slices]int
	slice   int64
}

// New returns a budget with nothing earned.
func New(opts Options) *Budget { return &Budget{opts: opts} }

func (b *Budget) advance(now time.Time) int {
	step := int64(b.opts.Window) / slices
	slice := now.UnixNano() / step
	for passed := min(slice-b.slice, slices); passed > 0; passed-- {
		i := (slice - passed + 1) % slices
		b.firsts[i], b.repeats[i] = 0, 0
	}
	b.slice = max(slice, b.slice)
	return int(b.slice % slices)
}

// First counts a request's first attempt.
func (b *Budget) First(now time.Time) { b.firsts[b.advance(now)]++ }

// Take counts a repeat if the budget allows it. Entries is the number of entries
// that may be spending.
func (b *Budget) Take(now time.Time, entries int) bool {
	i := b.advance(now)
	firsts, repeats := 0, 0
	for j := range b.firsts {
		firsts += b.firsts[j]
		repeats += b.repeats[j]
	}
	allowed := margin * (b.opts.Ratio*float64(firsts) + b.opts.Extra/float64(max(entries, 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[i]++
	return true
}
