package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leavingBound is promised in docs/GUARANTEES.md: the time from the first sign
// that an upstream is leaving to the last new dispatch to it.
const leavingBound = 5 * time.Second

// With the default intervals every sign reaches an entry within the bound, also
// one that misses all pushes and hears of it with its next probe.
func TestDefaultIntervalsKeepTheLeavingBound(t *testing.T) {
	const call = time.Second // a report or list that takes long
	in := DefaultSettings().Intervals
	// Every round of an entry reaches a live member; see
	// TestEveryRoundProbesALiveMember. The pull takes one call.
	missedPush := in.Heartbeat.Std() + call
	require.LessOrEqual(t, in.Hosts.Std()+call+missedPush, leavingBound, "host list")
	require.LessOrEqual(t, in.Load.Std()+call+missedPush, leavingBound, "report")
}
