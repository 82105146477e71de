package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// The check counts what the platform's rule counts.
func TestWorkBesideAnotherRunIsSeen(t *testing.T) {
	begin := time.Unix(1000, 0)
	work := func(run, request string, from, to int) upstream.Work {
		at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
		return upstream.Work{Run: run, RequestID: request, From: at(from), To: at(to)}
	}
	never := func(string, time.Time) time.Time { return time.Time{} }
	cases := map[string]struct {
		works []upstream.Work
		awake func(string, time.Time) time.Time
		want  []string
	}{
		"one after the other":         {[]upstream.Work{work("a/0", "r", 0, 100), work("b/0", "r", 120, 300)}, never, nil},
		"as long as allowed":          {[]upstream.Work{work("a/0", "r", 0, 500), work("b/0", "r", 100, 300)}, never, nil},
		"longer":                      {[]upstream.Work{work("a/0", "r", 0, 501), work("b/0", "r", 100, 300)}, never, []string{"a/0 beside b/0"}},
		"noted in the other order":    {[]upstream.Work{work("b/0", "r", 100, 300), work("a/0", "r", 0, 501)}, never, []string{"a/0 beside b/0"}},
		"the second of three":         {[]upstream.Work{work("a/0", "r", 0, 90), work("b/0", "r", 100, 900), work("c/0", "r", 200, 900)}, never, []string{"b/0 beside c/0"}},
		"another request":             {[]upstream.Work{work("a/0", "r", 0, 900), work("b/0", "s", 100, 900)}, never, nil},
		"paused until shortly before": {[]upstream.Work{work("a/0", "r", 0, 900), work("b/0", "r", 100, 300)}, func(string, time.Time) time.Time { return begin.Add(600 * time.Millisecond) }, nil},
		"paused until long before":    {[]upstream.Work{work("a/0", "r", 0, 900), work("b/0", "r", 100, 300)}, func(string, time.Time) time.Time { return begin.Add(400 * time.Millisecond) }, []string{"a/0 beside b/0"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, o := range overlaps(c.works, c.awake) {
				got = append(got, o.String())
			}
			require.Equal(t, c.want, got)
		})
	}
}

// A pause counts from its end on.
func TestLastPauseIsTheLatestThatHasEnded(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(s int) time.Time { return begin.Add(time.Duration(s) * time.Second) }
	p := timeline{spans: []span{{at(1), at(2)}, {at(3), at(4)}, {at(5), time.Time{}}}}
	require.True(t, p.lastEnd(at(1)).IsZero())
	require.Equal(t, at(2), p.lastEnd(at(3)))
	require.Equal(t, at(4), p.lastEnd(at(9)))
}
