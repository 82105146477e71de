package gateway

import (
	"errors"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
	"jaylink/serving"
)

// An entry that watches the store for the configuration only learns of upstreams
// from the others.
func TestUpstreamsAreHeardOfUnlessTheyAreWatched(t *testing.T) {
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	g.config.Store(&acceptedConfiguration{Configuration: &serving.Configuration{Version: 1}})
	g.upstreams.Store(&upstreamList{revision: 5})
	g.followsConfiguration.Store(true)
	require.True(t, g.behindUpstreams(word{Upstreams: 9}))
	require.False(t, g.watches())
	g.followsUpstreams.Store(true)
	require.False(t, g.behindUpstreams(word{Upstreams: 9}))
	require.True(t, g.watches())
	// The store does not answer: the others may know more.
	g.setLost("store."+platform.KindUpstreams, errors.New("down"))
	require.True(t, g.behindUpstreams(word{Upstreams: 9}))
}
