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

func TestRequestIsPoisonAtCrashLimit(t *testing.T) {
	tr := NewTracker()
	for i := range Limit {
		require.False(t, tr.Poisoned(start, 1))
		require.True(t, tr.Add(start, report(1, fmt.Sprint(i), 0)))
	}
	require.True(t, tr.Poisoned(start, 1))
	require.False(t, tr.Poisoned(start, 2))
	require.False(t, tr.Add(start, report(1, "another", 0)), "a known poison request needs no further reports")
}

func TestDuplicateCrashReportsCountOnce(t *testing.T) {
	tr := NewTracker()
	require.True(t, tr.Add(start, report(1, "u", 0)))
	require.False(t, tr.Add(start, report(1, "u", crashMergeWindow/2)))
	require.True(t, tr.Add(start, report(1, "u", 2*crashMergeWindow)), "the upstream restarted and crashed again")
	require.Equal(t, 2, tr.Crashes(1))
}

func TestConcurrentRequestsAreNotBlamed(t *testing.T) {
	const cause, concurrent = 1, 2
	cases := map[string]struct {
		reports []uint64 // two per crash, in order of arrival
		poison  []uint64
	}{
		"concurrent in one crash":                  {[]uint64{concurrent, cause, cause, cause, cause, cause}, []uint64{cause}},
		"concurrent in every crash, cause unknown": {[]uint64{cause, concurrent, cause, concurrent, cause, concurrent}, nil},
		"last report of the cause missing":         {[]uint64{concurrent, cause, concurrent, cause, concurrent, concurrent}, nil},
		"fourth crash decides":                     {[]uint64{cause, concurrent, cause, concurrent, cause, concurrent, cause, cause, cause, cause}, []uint64{cause}},
		"first to reach the hard limit":            {[]uint64{cause, concurrent, cause, concurrent, cause, concurrent, cause, concurrent, cause, concurrent}, []uint64{cause}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for i, f := range tc.reports {
				tr.Add(start, report(f, fmt.Sprint(i/2), 0))
			}
			var found []uint64
			for _, f := range []uint64{cause, concurrent} {
				if tr.Poisoned(start, f) {
					found = append(found, f)
				}
			}
			require.Equal(t, tc.poison, found)
		})
	}
}

func TestAttributedCrashesDoNotCountAgainstOtherRequests(t *testing.T) {
	tr := NewTracker()
	tr.Add(start, report(2, "0", 0))
	for i := range Limit {
		tr.Add(start, report(1, fmt.Sprint(i), 0))
	}
	require.True(t, tr.Poisoned(start, 1))
	require.Zero(t, tr.Crashes(2))
	require.False(t, tr.Add(start, report(3, "1", 0)), "a late report of an attributed crash")
	tr.Add(start, report(4, "another", 0))
	tr.Add(start, report(1, "another", 0))
	require.Zero(t, tr.Crashes(4), "a later crash with a poison request is attributed to it too")
}

func TestCrashesExpire(t *testing.T) {
	tr := NewTracker()
	tr.Add(start, report(2, "u", 0))
	for i := range Limit {
		tr.Add(start, report(1, fmt.Sprint(i), 0))
	}
	require.False(t, tr.Poisoned(start.Add(retention), 1))
	require.False(t, tr.Add(start.Add(retention), report(3, "u", 0)), "an expired report changes nothing")
	require.Empty(t, tr.counts)
	require.Empty(t, tr.poisoned)
}

func TestTrackerSizeIsBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 2 * maxCrashes {
		tr.Add(start, report(uint64(i), fmt.Sprint(i), 0))
	}
	require.Len(t, tr.crashes, maxCrashes)
	require.Len(t, tr.counts, maxCrashes)
	require.Zero(t, tr.Crashes(0), "the oldest crash was dropped")
	for i := range 2 * maxCrashRequests {
		tr.Add(start, report(uint64(i), "shared", 0))
	}
	require.Len(t, tr.crashes[len(tr.crashes)-1].requests, maxCrashRequests)
}
