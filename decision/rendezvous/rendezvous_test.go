package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPickMovesOnlyKeysOfRemovedMember(t *testing.T) {
	var members []string
	for i := range 10 {
		members = append(members, fmt.Sprintf("entry-%d", i))
	}
	rest := slices.Delete(slices.Clone(members), 3, 4)
	for i := range 200 {
		key := fmt.Sprint(i)
		before, after := Pick(key, members, 2), Pick(key, rest, 2)
		require.Len(t, before, 2)
		if !slices.Contains(before, "entry-3") {
			require.Equal(t, before, after)
		}
	}
	require.Empty(t, Pick("k", nil, 2))
	require.Len(t, Pick("k", members, 20), 10)
	all := Pick("k", members, 10)
	require.Equal(t, all[:3], Pick("k", members, 3), "a smaller n must return a prefix of the list for a larger n")
	require.ElementsMatch(t, members, all)
}
