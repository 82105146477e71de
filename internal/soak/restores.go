package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"jaylink/standin/metastore"
)

// restores are the faults in which the store comes back from an older copy.
var restores = []fault{
	{"store_restored", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		older := f.store.Copy()
		time.Sleep(hold)
		away, late := time.Duration(rng.Int64N(int64(time.Second))), time.Duration(rng.Int64N(int64(time.Second)))
		f.restoreStore(older, away, late)
		return fmt.Sprintf("away %v, written again after %v", away.Round(time.Millisecond), late.Round(time.Millisecond))
	}},
}

// restoreStore makes the store unavailable and then brings it back from a copy. Some time after
// that the operator and the upstreams write again what they have written.
func (f *fleet) restoreStore(older *metastore.Copy, away, late time.Duration) {
	f.restoring.Lock()
	defer f.restoring.Unlock()
	defer f.storeDisturbed.begin()()
	f.store.SetFaults(metastore.Faults{Down: true})
	time.Sleep(away)
	f.writes.Lock()
	defer f.writes.Unlock()
	f.store.Restore(older)
	f.store.SetFaults(metastore.Faults{})
	time.Sleep(late)
	f.store.PutConfiguration(f.configuration)
	for _, r := range f.registrations {
		f.writeRegistration(r)
	}
}
