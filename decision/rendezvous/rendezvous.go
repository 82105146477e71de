// Package rendezvous chooses members for a key without agreement: all that know
// the same members choose the same ones, and a member that comes or goes moves
// only the keys that it has. It does no I/O.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type candidate struct {
	name   string
	weight uint64
}

// before orders candidates, the highest weight first.
func (c candidate) before(o candidate) bool {
	if c.weight != o.weight {
		return c.weight > o.weight
	}
	return c.name < o.name
}

// Pick returns the n members with the highest weight for the key, the highest
// first; all of them if there are fewer.
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
