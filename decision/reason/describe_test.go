package reason

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// A reason without a description, or one that is in neither Refusals nor
// Retries, would be missing from the metrics and the documentation.
func TestEveryReasonIsDescribedAndListed(t *testing.T) {
	for _, r := range slices.Concat(Refusals, Retries) {
		d, ok := Describe(r)
		require.True(t, ok, "%s has no description in describe.go", r)
		require.NotEmpty(t, d.Meaning, r)
	}
	for _, r := range Refusals {
		d, _ := Describe(r)
		require.NotEmpty(t, d.RetryAdvice, "%s does not say when the caller may send the request again", r)
	}
	require.Len(t, descriptions, len(Refusals)+len(Retries))
}
