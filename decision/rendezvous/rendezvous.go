// Package rendezvous chooses members for a key without agreement: all that know
// the same members choose the same ones, and a member that comes or goes moves
// only the keys that it has. It does no I/O.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pick returns the n members with the highest weight for the key, the highest
// first; all of them if there are fewer.
func Pick(key string, members []string, n int) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	list := make([]candidate, 0, len(members))
	for _, name := range members {
		list = append(list, candidate{name, xxhash.Sum64String(key + "\x00" + name)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	list = list[:min(n, len(list))]
	out := make([]string, 0, len(list))
	for _, c := range list {
		out = append(out, c.name)
	}
	return out
}
