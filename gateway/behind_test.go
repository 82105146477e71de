package gateway

import (
	"errors"
	"fmt"
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

// Load pattern: all entries start at the same moment. Those that come later in the
// order of the watchers leave the first watch to the others.
func TestFewEntriesWatchFirst(t *testing.T) {
	const entries = 295
	first := 0
	for i := range entries {
		g := New(platform.Settings{Name: fmt.Sprint("e-", i)}, slog.New(slog.DiscardHandler))
		for j := range entries {
			if j != i {
				g.peers[fmt.Sprint("e-", j)] = &peer{}
			}
		}
		if !g.othersWatchFirst() {
			first++
		}
	}
	require.Equal(t, watchers, first)
}

// An entry that starts alone among running ones finds them by a stale list; one
// that starts with all others has to look again.
func TestFreshListOfEntriesOnlyIfFewSpeak(t *testing.T) {
	g := New(platform.Settings{Name: "e"}, slog.New(slog.DiscardHandler))
	require.False(t, g.heardMost(), "nobody is known")
	for i := range 10 {
		g.peers[fmt.Sprint("e-", i)] = &peer{}
	}
	require.False(t, g.heardMost())
	for i := range 5 {
		g.peers[fmt.Sprint("e-", i)].incarnation = 1
	}
	require.True(t, g.heardMost())
}
