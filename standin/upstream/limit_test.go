package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The check counts what the platform's rule counts.
func TestCheckLimitsCountsAsThePlatformDoes(t *testing.T) {
	const contact = 3 * time.Second
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	one := 1.0
	entryOf := func(id string) string { return id }
	// arrivals returns n requests of an entry, 100 ms apart.
	arrivals := func(entry string, from, n int) (list []Arrival) {
		for i := range n {
			list = append(list, Arrival{RequestID: entry, At: at(from + 100*i)})
		}
		return list
	}
	cases := map[string]struct {
		named    []naming
		arrivals []Arrival
		excused  func(string, time.Time, time.Time) bool
		got      int
	}{
		"as many as allowed":              {[]naming{{at(0), "a"}}, arrivals("a", 3000, 11), nil, 0},
		"one more":                        {[]naming{{at(0), "a"}}, arrivals("a", 3000, 12), nil, 12},
		"before the contact time":         {[]naming{{at(0), "a"}}, arrivals("a", 1000, 20), nil, 0},
		"an entry that was not told":      {[]naming{{at(0), "a"}}, arrivals("b", 3000, 20), nil, 0},
		"told less than half a second":    {[]naming{{at(0), "a"}, {at(4000), "b"}}, arrivals("b", 3000, 14), nil, 0},
		"summed over entries":             {[]naming{{at(0), "a"}, {at(0), "b"}}, append(arrivals("a", 3000, 6), arrivals("b", 3050, 6)...), nil, 12},
		"a disturbance excuses the entry": {[]naming{{at(0), "a"}}, arrivals("a", 3000, 12), func(_ string, from, to time.Time) bool { return from.Before(at(1000)) && to.After(at(1000)) }, 0},
		"told again after a disturbance": {
			[]naming{{at(0), "a"}, {at(1500), "a"}}, arrivals("a", 5000, 12),
			func(_ string, from, to time.Time) bool { return from.Before(at(1000)) && to.After(at(1000)) }, 12,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Server{limits: []limitChange{{begin, &one}, {at(20_000), nil}}, named: c.named, arrivals: c.arrivals}
			excess := s.CheckLimits(contact, entryOf, c.excused)
			if c.got == 0 {
				require.Empty(t, excess)
				return
			}
			require.Len(t, excess, 1)
			require.Equal(t, c.got, excess[0].Got)
			require.InDelta(t, 11, excess[0].Allowed, 1e-9)
		})
	}
}
