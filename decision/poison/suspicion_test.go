package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOneProbeCoversConcurrentBrokenConnections(t *testing.T) {
	s := NewCrashSuspicions()
	probe, crashed := s.ConnectionBroken(report(1, "u", 0))
	require.True(t, probe)
	require.False(t, crashed)
	probe, _ = s.ConnectionBroken(report(2, "u", 0))
	require.False(t, probe, "a probe is already under way")
	probe, _ = s.ConnectionBroken(report(3, "other", 0))
	require.True(t, probe)
	require.Equal(t, []Crash{report(1, "u", 0), report(2, "u", 0)}, s.ProbeFinished("u", true))
	require.Empty(t, s.ProbeFinished("u", true))
	probe, crashed = s.ConnectionBroken(report(4, "u", crashMergeWindow/2))
	require.False(t, probe)
	require.True(t, crashed, "the connection broke in a crash that is already known")
	probe, _ = s.ConnectionBroken(report(5, "u", crashMergeWindow))
	require.True(t, probe, "a connection that breaks later belongs to another event")
}

func TestLiveUpstreamYieldsNoCrash(t *testing.T) {
	s := NewCrashSuspicions()
	s.ConnectionBroken(report(1, "u", 0))
	require.Empty(t, s.ProbeFinished("u", false))
	probe, crashed := s.ConnectionBroken(report(2, "u", crashMergeWindow/2))
	require.False(t, probe)
	require.False(t, crashed)
}
