package isolate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/route"
)

func TestKeep(t *testing.T) {
	f := &Filter{}
	busy, free := &route.Upstream{Suspects: 1}, &route.Upstream{}
	require.True(t, f.Keep(time.Time{}, &route.Request{}, busy))
	require.True(t, f.Keep(time.Time{}, &route.Request{Suspect: true}, free))
	require.False(t, f.Keep(time.Time{}, &route.Request{Suspect: true}, busy))
}
