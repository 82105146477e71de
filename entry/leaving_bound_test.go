package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leavingBound is guaranteed in docs/GUARANTEES.md: the maximum time from the
// first sign that an upstream is leaving to the last new dispatch to it.
const leavingBound = 5 * time.Second

// With the default intervals, every sign that an upstream is leaving reaches
// each entry within the bound, even an entry that misses all pushes and learns
// of the sign from its next probe.
func TestDefaultIntervalsKeepTheLeavingBound(t *testing.T) {
	const call = time.Second // duration of a slow request for a report or list
	in := DefaultSettings().Intervals
	// Every probe round of an entry reaches a live member; see
	// TestEveryRoundProbesALiveMember. The pull that follows takes one
	// call.
	missedPush := in.Heartbeat.Std() + call
	require.LessOrEqual(t, in.Hosts.Std()+call+missedPush, leavingBound, "host list")
	require.LessOrEqual(t, in.Load.Std()+call+missedPush, leavingBound, "report")
}
