package reason

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A reason without a description, or one that no list has, is a mistake: both
// would be missing from counters and pages.
func TestEveryReasonIsDescribedAndListed(t *testing.T) {
	for _, r := range slices.Concat(Refusals, Retries) {
		d, ok := Describe(r)
		require.True(t, ok, "%s has no description in describe.go", r)
		require.NotEmpty(t, d.Meaning, r)
	}
	for _, r := range Refusals {
		d, _ := Describe(r)
		require.NotEmpty(t, d.Again, "%s: say when to send again", r)
	}
	require.Len(t, descriptions, len(Refusals)+len(Retries))
}
