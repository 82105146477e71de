package sign

import (
	"cmp"
	"slices"
	"time"
)

// Active returns the unexpired signs that a host is leaving, sorted by source
// and observer. They explain to operators why the host counts as leaving.
func (s *Set) Active(now time.Time, host string) []Sign {
	var out []Sign
	for _, h := range s.hosts[host] {
		if h.Leaving && now.Before(h.expiresAt) {
			out = append(out, h.Sign)
		}
	}
	slices.SortFunc(out, func(a, b Sign) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Observer, b.Observer))
	})
	return out
}
