// Package rendezvous assigns keys to members by rendezvous hashing (highest
// random weight). Processes that know the same members choose the same ones
// without coordination, and adding or removing a member moves only the keys
// assigned to it. The package does no I/O.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type candidate struct {
	name   string
	weight uint64
}

// before orders candidates by descending weight, then by name.
func (c candidate) before(o candidate) bool {
	if c.weight != o.weight {
		return c.weight > o.weight
	}
	return c.name < o.name
}

// Pick returns the n members with the highest weight for the key, in descending
// order of weight, or all members if there are fewer than n.
func Pick(key string, members []string, n int) []string {
	best := make([]candidate, 0, n+1)
	for _, name := range members {
		c := candidate{name, xxhash.Sum64String(key + "\x00" + name)}
		at := len(best)
		for at > 0 && c.before(best[at-1]) {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, c)
			best = best[:min(n, len(best))]
		}
	}
	out := make([]string, 0, len(best))
	for _, c := range best {
		out = append(out, c.name)
	}
	return out
}

// Mix distributes the bits of a key, so that the weights of numeric keys and members can
// be computed without allocation. It is the 64-bit finalizer of MurmurHash3.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
