package objects_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/objects"
)

func TestPositionsAreOrderedByEraThenRevision(t *testing.T) {
	ordered := []objects.Position{{}, {Revision: 106}, {Era: 1, Revision: 85}, {Era: 1, Revision: 106}, {Era: 2}}
	for i, p := range ordered {
		for j, q := range ordered {
			require.Equal(t, i < j, p.Before(q), "%v before %v", p, q)
			require.Equal(t, i == j, p.Compare(q) == 0)
		}
	}
}
