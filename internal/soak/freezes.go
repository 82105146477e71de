package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// maxBeforeReset bounds the time between the freeze of an entry and the resets. The upstreams that are
// slow have hardly sent anything by then, so that some connections are reset after all data was read.
const maxBeforeReset = slowestEvent / 2

// freezes is the series of a run with frozen entries alone: connections to upstreams are reset while
// the process of an entry stands still.
var freezes = []fault{
	{"entry_frozen", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		before := time.Duration(rng.Int64N(int64(min(hold, maxBeforeReset))))
		var reset []string
		e.pause(func() {
			time.Sleep(before)
			for _, b := range f.all() {
				if rng.IntN(2) == 0 {
					b.resetConnections()
					reset = append(reset, b.ID)
				}
			}
			time.Sleep(hold - before)
		})
		return fmt.Sprintf("%s, resets of %v after %s", e.name, reset, before.Round(time.Millisecond))
	}},
}
