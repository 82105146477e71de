package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// herds is the series of a run in which all entries are killed at the same moment again and again,
// beside requests that crash their upstreams. Entries are in touch for a while between two kills;
// only what they send then counts.
var herds = []fault{
	{"all_entries_killed", func(f *fleet, _ *rand.Rand, hold time.Duration) string {
		f.oneByOne.Lock()
		defer f.oneByOne.Unlock()
		var kills sync.WaitGroup
		for _, e := range f.entries {
			kills.Go(func() { restart(f, e, syscall.SIGKILL, hold/4) })
		}
		kills.Wait()
		time.Sleep(contactTime + hold)
		return ""
	}},
}
