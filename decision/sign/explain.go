package sign

import (
	"cmp"
	"slices"
	"time"
)

// Holding returns the signs by which a host counts as leaving now, by source
// and observer, for explanations.
func (s *Set) Holding(now time.Time, host string) []Sign {
	var out []Sign
	for _, h := range s.hosts[host] {
		if h.Leaving && now.Before(h.until) {
			out = append(out, h.Sign)
		}
	}
	slices.SortFunc(out, func(a, b Sign) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Observer, b.Observer))
	})
	return out
}
