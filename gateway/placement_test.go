package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/serving"
)

func TestConnectionShare(t *testing.T) {
	for _, c := range []struct{ most, entries, want int }{
		{0, 8, 0}, {210, 8, 26}, {210, 1, 210}, {630, 83, 7}, {100, 340, 1},
	} {
		require.Equal(t, c.want, connectionShare(&serving.Service{MaxConnections: c.most}, c.entries))
	}
}
