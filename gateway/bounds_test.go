package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
)

// bounds are the tightest that the users' deployments state.
func bounds() platform.Bounds {
	return platform.Bounds{
		ConfigurationApply: 2500 * time.Millisecond, Drain: 2500 * time.Millisecond, Grace: 8 * time.Second,
	}
}

// A watch that goes silent, the pause after it and a read fit into the time in
// which a version has to be in force.
func TestSilentWatchFitsIntoTheApplyBound(t *testing.T) {
	g := &Gateway{settings: platform.Settings{Bounds: bounds()}}
	const read = 100 * time.Millisecond
	require.LessOrEqual(t, g.watchWait()+platform.WatchSlack+storeBackoff+read, bounds().ConfigurationApply)
}

// A change that only the watchers see reaches the others in time: by a word, the
// delay before a fetch, and the fetch.
func TestSpreadFitsIntoTheDrainBound(t *testing.T) {
	slowest := upstreamGap + 2*tellInterval + spreadDelay + spreadTimeout
	require.LessOrEqual(t, slowest, bounds().Drain)
	// Upstreams that have vanished are dropped before they may get nothing more.
	for _, drain := range []time.Duration{bounds().Drain, bounds().Drain / 2} {
		g := &Gateway{settings: platform.Settings{Bounds: platform.Bounds{Drain: drain}}}
		require.Less(t, g.lapseTime()+upstreamGap, drain)
	}
}

// A stop leaves most of the grace time to the requests in flight.
func TestNoticeTimeLeavesGrace(t *testing.T) {
	require.Less(t, noticeTime+killSlack, bounds().Grace/2)
}

// An entry that starts begins to watch, or hears from those that do, before a change
// made just after its first list has to be in force.
func TestFirstWatchFitsIntoTheApplyBound(t *testing.T) {
	require.Less(t, 2*watchLead, bounds().ConfigurationApply)
	// By then the others are known.
	require.Less(t, findAgain, watchLead)
}

// Load pattern: the store refuses a third of the entries for seconds. They call less
// and less often, and still within a second of its return.
func TestRefusedEntriesCallLessOften(t *testing.T) {
	const outage = 9 * time.Second
	calls := 0
	for passed := time.Duration(0); passed < outage; passed += storePause(calls - 1) {
		calls++
	}
	require.LessOrEqual(t, calls, int(outage/maxStoreBackoff)+2)
	require.Equal(t, maxStoreBackoff, storePause(1000))
}
