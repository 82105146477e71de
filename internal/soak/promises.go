package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jaylink/standin/upstream"
)

// promises are the faults in which upstreams promise that requests have not run which have.
var promises = []fault{
	{"upstream_breaks_promise", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		odd := []upstream.Fault{
			upstream.RepeatRefusal, upstream.RepeatUnnamedRefusal, upstream.FailAsBusy, upstream.FailAsLimited,
		}
		b, kind := f.pick(rng.IntN(8)), odd[rng.IntN(len(odd))]
		b.beOdd(kind, hold)
		return fmt.Sprintf("%s kind %d", b.ID, kind)
	}},
}
