package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(f uint64, upstream string, after time.Duration) Crash {
	return Crash{Fingerprint: f, Upstream: upstream, At: start.Add(after)}
}

func TestLimitOfCrashesMakesPoison(t *testing.T) {
	tr := NewTracker()
	for i := range Limit {
		require.False(t, tr.Poisoned(start, 1))
		require.True(t, tr.Add(start, report(1, fmt.Sprint(i), 0)))
	}
	require.True(t, tr.Poisoned(start, 1))
	require.False(t, tr.Poisoned(start, 2))
	require.False(t, tr.Add(start, report(1, "another", 0)), "what is known needs no spreading")
}

func TestOneCrashCountsOnceHoweverManySawIt(t *testing.T) {
	tr := NewTracker()
	require.True(t, tr.Add(start, report(1, "u", 0)))
	require.False(t, tr.Add(start, report(1, "u", sameCrash/2)))
	require.True(t, tr.Add(start, report(1, "u", 2*sameCrash)), "it was started again and crashed again")
	require.Equal(t, 2, tr.Crashes(1))
}

func TestRequestsBesideACauseAreNotBlamed(t *testing.T) {
	const cause, beside = 1, 2
	cases := map[string]struct {
		reports []uint64 // two for each crash, in the order in which they come
		poison  []uint64
	}{
		"beside it once":                 {[]uint64{beside, cause, cause, cause, cause, cause}, []uint64{cause}},
		"beside it always, can't tell":   {[]uint64{cause, beside, cause, beside, cause, beside}, nil},
		"reports in the other order":     {[]uint64{beside, cause, beside, cause, beside, beside}, nil},
		"the fourth crash tells":         {[]uint64{cause, beside, cause, beside, cause, beside, cause, cause, cause, cause}, []uint64{cause}},
		"at the hard limit both, or one": {[]uint64{cause, beside, cause, beside, cause, beside, cause, beside, cause, beside}, []uint64{cause}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for i, f := range tc.reports {
				tr.Add(start, report(f, fmt.Sprint(i/2), 0))
			}
			var found []uint64
			for _, f := range []uint64{cause, beside} {
				if tr.Poisoned(start, f) {
					found = append(found, f)
				}
			}
			require.Equal(t, tc.poison, found)
		})
	}
}

func TestCrashesOfAPoisonedRequestAreNotHeldAgainstOthers(t *testing.T) {
	tr := NewTracker()
	tr.Add(start, report(2, "0", 0))
	for i := range Limit {
		tr.Add(start, report(1, fmt.Sprint(i), 0))
	}
	require.True(t, tr.Poisoned(start, 1))
	require.Zero(t, tr.Crashes(2))
	require.False(t, tr.Add(start, report(3, "1", 0)), "a late report of an explained crash")
	tr.Add(start, report(4, "another", 0))
	tr.Add(start, report(1, "another", 0))
	require.Zero(t, tr.Crashes(4), "a later crash of what is poison is explained too")
}

func TestCrashesExpire(t *testing.T) {
	tr := NewTracker()
	tr.Add(start, report(2, "u", 0))
	for i := range Limit {
		tr.Add(start, report(1, fmt.Sprint(i), 0))
	}
	require.False(t, tr.Poisoned(start.Add(memory), 1))
	require.False(t, tr.Add(start.Add(memory), report(3, "u", 0)), "an old report changes nothing")
	require.Empty(t, tr.counts)
	require.Empty(t, tr.poisoned)
}

func TestMemoryIsBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 2 * maxCrashes {
		tr.Add(start, report(uint64(i), fmt.Sprint(i), 0))
	}
	require.Len(t, tr.crashes, maxCrashes)
	require.Len(t, tr.counts, maxCrashes)
	require.Zero(t, tr.Crashes(0), "the oldest was dropped")
	for i := range 2 * maxShared {
		tr.Add(start, report(uint64(i), "shared", 0))
	}
	require.Len(t, tr.crashes[len(tr.crashes)-1].requests, maxShared)
}
