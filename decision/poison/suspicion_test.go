package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOneProbeCoversConcurrentBrokenConnections(t *testing.T) {
	s := NewCrashSuspicions()
	probe, crashed := s.ConnectionBroken(start, "u", 1)
	require.True(t, probe)
	require.False(t, crashed)
	probe, _ = s.ConnectionBroken(start, "u", 2)
	require.False(t, probe, "a probe is already under way")
	probe, _ = s.ConnectionBroken(start, "other", 3)
	require.True(t, probe)
	require.Equal(t, []Crash{{1, "u", start}, {2, "u", start}}, s.ProbeFinished("u", true))
	require.Empty(t, s.ProbeFinished("u", true))
	probe, crashed = s.ConnectionBroken(start.Add(crashMergeWindow/2), "u", 4)
	require.False(t, probe)
	require.True(t, crashed, "the connection broke in a crash that is already known")
	probe, _ = s.ConnectionBroken(start.Add(crashMergeWindow), "u", 5)
	require.True(t, probe, "a connection that breaks later belongs to another event")
}

func TestLiveUpstreamYieldsNoCrash(t *testing.T) {
	s := NewCrashSuspicions()
	s.ConnectionBroken(start, "u", 1)
	require.Empty(t, s.ProbeFinished("u", false))
	probe, crashed := s.ConnectionBroken(start.Add(crashMergeWindow/2), "u", 2)
	require.False(t, probe)
	require.False(t, crashed)
}
