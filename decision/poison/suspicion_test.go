package poison

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOneLookTellsOfAllThatBrokeTogether(t *testing.T) {
	s := NewSuspicions()
	look, crashed := s.Broke(start, "u", 1)
	require.True(t, look)
	require.False(t, crashed)
	look, _ = s.Broke(start, "u", 2)
	require.False(t, look, "one look is under way")
	look, _ = s.Broke(start, "other", 3)
	require.True(t, look)
	require.Equal(t, []Crash{{1, "u", start}, {2, "u", start}}, s.Looked("u", true))
	require.Empty(t, s.Looked("u", true))
	look, crashed = s.Broke(start.Add(sameCrash/2), "u", 4)
	require.False(t, look)
	require.True(t, crashed, "it broke in the crash that is known")
	look, _ = s.Broke(start.Add(sameCrash), "u", 5)
	require.True(t, look, "a later break is another event")
}

func TestUpstreamThatIsThereBlamesNobody(t *testing.T) {
	s := NewSuspicions()
	s.Broke(start, "u", 1)
	require.Empty(t, s.Looked("u", false))
	look, crashed := s.Broke(start.Add(sameCrash/2), "u", 2)
	require.False(t, look)
	require.False(t, crashed)
}
