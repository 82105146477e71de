package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

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
	g.watchingConfiguration.Store(true)
	require.True(t, g.behindUpstreams(word{Upstreams: 9}))
	require.False(t, g.watches())
	g.watchingUpstreams.Store(true)
	require.False(t, g.behindUpstreams(word{Upstreams: 9}))
	require.True(t, g.watches())
	// The store does not answer: the others may know more.
	g.setDependencyError("store."+platform.KindUpstreams, errors.New("down"))
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
	require.False(t, g.heardFromMost(), "nobody is known")
	for i := range 10 {
		g.peers[fmt.Sprint("e-", i)] = &peer{}
	}
	require.False(t, g.heardFromMost())
	for i := range 5 {
		g.peers[fmt.Sprint("e-", i)].incarnation = 1
	}
	require.True(t, g.heardFromMost())
}

// Load pattern: a fleet in which words come each ten seconds. Only the first in the
// order of names look at the lease, and one lost word of a watcher makes nobody else
// watch the store.
func TestLateWordsMakeNoMoreCalls(t *testing.T) {
	const entries = 295
	name := func(i int) string { return fmt.Sprintf("e-%03d", i) }
	follow, watch := 0, 0
	for i := range entries {
		g := New(platform.Settings{Name: name(i), Region: "r", Bounds: bounds()}, slog.New(slog.DiscardHandler))
		g.gossipInterval.Store(int64(lateInterval))
		for j := range entries {
			if j != i {
				g.peers[name(j)] = &peer{
					region: "r", address: &net.UDPAddr{}, incarnation: 1, heard: time.Now().Add(-4 * time.Second),
				}
			}
		}
		// Three watch, and one of them was not heard in time.
		for j, id := range []string{name(7), name(70), name(170)} {
			if p := g.peers[id]; p != nil {
				p.watches = true
				if j > 0 {
					p.heard = time.Now()
				}
			}
		}
		if g.isCandidate() {
			follow++
		}
		if last := watchRank(name(i)) > max(watchRank(name(70)), watchRank(name(170))); last && g.watchersBefore() < minWatchers {
			watch++
		}
	}
	require.Equal(t, candidates, follow)
	require.Zero(t, watch)
}

// In a large fleet the holder of the duties is heard each ten seconds. It is told of
// usage all the while, and those who would succeed it don't wait for its next word.
func TestHolderIsToldOfUsageBetweenItsWords(t *testing.T) {
	g := New(platform.Settings{Name: "e-000", Region: "r", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	for i := 1; i < 40; i++ {
		g.peers[fmt.Sprintf("e-%03d", i)] = &peer{region: "r", address: &net.UDPAddr{Port: i}, heard: time.Now()}
	}
	holder := g.peers["e-030"]
	holder.holder, holder.heard = true, time.Now().Add(-2*loadLife)
	g.expirePeers(time.Now(), 10*time.Second)
	require.Contains(t, g.sortedPeers().duties, holder.address)
	require.True(t, g.isCandidate())
	holder.heard = time.Now()
	require.False(t, g.isCandidate())
}
