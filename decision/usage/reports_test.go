package usage

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReportOfAWindowMayBeLost(t *testing.T) {
	cases := map[string]struct {
		announced map[int64]uint64
		window    int64
		era       uint64
		want      bool
	}{
		"the first era loses nothing":              {map[int64]uint64{100: 1}, 100, 1, false},
		"announced before the restore":             {map[int64]uint64{100: 1}, 100, 2, true},
		"announced since the restore":              {map[int64]uint64{100: 2}, 100, 2, false},
		"announced since and restored again":       {map[int64]uint64{100: 2}, 100, 3, true},
		"a later one was announced":                {map[int64]uint64{101: 2}, 100, 2, true},
		"nothing as late was announced":            {map[int64]uint64{99: 1}, 100, 2, false},
		"due before this process heard anything":   {nil, 97, 2, true},
		"due since then and nobody announced it":   {nil, 98, 2, false},
		"announced twice, the first time is meant": {map[int64]uint64{100: 1}, 100, 2, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := NewReports(1, 98)
			for w, era := range c.announced {
				r.Announce(w, era)
				r.Announce(w, era+5)
			}
			require.Equal(t, c.want, r.MayBeLost(c.window, c.era))
		})
	}
}

func TestAnnouncementsAreBounded(t *testing.T) {
	r := NewReports(1, 0)
	for w := int64(1); w <= 10*maxAnnounced; w++ {
		r.Announce(w, 1)
	}
	require.Len(t, r.eras, maxAnnounced)
	window, era := r.Newest()
	require.EqualValues(t, 10*maxAnnounced, window)
	require.EqualValues(t, 1, era)
	require.True(t, r.MayBeLost(1, 2))
}
