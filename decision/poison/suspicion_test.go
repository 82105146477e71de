package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOneProbeCoversConcurrentBrokenConnections(t *testing.T) {
	s := NewSuspicions()
	probe, crashed := s.Broke(start, "u", 1)
	require.True(t, probe)
	require.False(t, crashed)
	probe, _ = s.Broke(start, "u", 2)
	require.False(t, probe, "a probe is already under way")
	probe, _ = s.Broke(start, "other", 3)
	require.True(t, probe)
	require.Equal(t, []Crash{{1, "u", start}, {2, "u", start}}, s.Looked("u", true))
	require.Empty(t, s.Looked("u", true))
	probe, crashed = s.Broke(start.Add(crashMergeWindow/2), "u", 4)
	require.False(t, probe)
	require.True(t, crashed, "the connection broke in a crash that is already known")
	probe, _ = s.Broke(start.Add(crashMergeWindow), "u", 5)
	require.True(t, probe, "a connection that breaks later belongs to another event")
}

func TestLiveUpstreamYieldsNoCrash(t *testing.T) {
	s := NewSuspicions()
	s.Broke(start, "u", 1)
	require.Empty(t, s.Looked("u", false))
	probe, crashed := s.Broke(start.Add(crashMergeWindow/2), "u", 2)
	require.False(t, probe)
	require.False(t, crashed)
}
