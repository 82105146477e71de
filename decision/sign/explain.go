package sign

import (
	"cmp"
	"slices"
	"time"
)

// Active returns the unexpired signals that a host is leaving, sorted by source
// and observer. They explain to operators why the host counts as leaving.
func (s *Set) Active(now time.Time, host string) []Signal {
	var out []Signal
	for _, h := range s.hosts[host] {
		if h.Leaving && now.Before(h.expiresAt) {
			out = append(out, h.Signal)
		}
	}
	slices.SortFunc(out, func(a, b Signal) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Observer, b.Observer))
	})
	return out
}
