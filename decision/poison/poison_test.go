package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func crash(f uint64, upstream string, after time.Duration) Crash {
	return Crash{Fingerprint: f, Upstream: upstream, At: start.Add(after)}
}

func TestLimitOfCrashesMakesPoison(t *testing.T) {
	tr := NewTracker()
	for i := range Limit {
		require.False(t, tr.Poisoned(start, 1))
		require.True(t, tr.Add(start, crash(1, fmt.Sprint(i), 0)))
	}
	require.True(t, tr.Poisoned(start, 1))
	require.False(t, tr.Poisoned(start, 2))
	require.False(t, tr.Add(start, crash(1, "another", 0)), "the count is bounded")
}

func TestOneCrashCountsOnceHoweverManySawIt(t *testing.T) {
	tr := NewTracker()
	require.True(t, tr.Add(start, crash(1, "u", 0)))
	require.False(t, tr.Add(start, crash(1, "u", sameCrash/2)))
	require.True(t, tr.Add(start, crash(1, "u", 2*sameCrash)), "it was started again and crashed again")
	require.Equal(t, 2, tr.Crashes(start, 1))
}

func TestCrashesExpire(t *testing.T) {
	tr := NewTracker()
	for i := range Limit {
		tr.Add(start, crash(1, fmt.Sprint(i), 0))
	}
	require.False(t, tr.Poisoned(start.Add(memory), 1))
	require.False(t, tr.Add(start.Add(memory), crash(2, "u", 0)), "an old report changes nothing")
}

func TestMemoryIsBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 2 * maxTracked {
		tr.Add(start, crash(uint64(i), "u", time.Duration(i)))
	}
	require.Len(t, tr.requests, maxTracked)
	require.Zero(t, tr.Crashes(start, 0), "the oldest was dropped")
	require.Equal(t, 1, tr.Crashes(start, 2*maxTracked-1))
	require.Len(t, tr.Recent(start), maxTracked)
}
