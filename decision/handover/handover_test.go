package handover

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

var from = Location{Zone: "a", Region: "r"}

func fleet(leaving ...string) []Peer {
	var out []Peer
	for _, p := range []Peer{{Zone: "a", Region: "r"}, {Zone: "b", Region: "r"}, {Zone: "c", Region: "s"}} {
		for i := range 4 {
			p.Name = fmt.Sprintf("%s%d", p.Zone, i)
			p.Leaving = false
			for _, zone := range leaving {
				p.Leaving = p.Leaving || p.Zone == zone
			}
			out = append(out, p)
		}
	}
	return out
}

func TestHolders(t *testing.T) {
	cases := []struct {
		name            string
		leaving         []string
		primary, backup string
	}{
		{"own zone first, backup in the region", nil, "a", "b"},
		{"own zone leaving", []string{"a"}, "b", "c"},
		{"region leaving", []string{"a", "b"}, "c", "c"},
		{"other zone leaving", []string{"b"}, "a", "c"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Holders("id", from, fleet(c.leaving...))
			require.Len(t, got, 2)
			require.Equal(t, c.primary, got[0].Zone)
			require.Equal(t, c.backup, got[1].Zone)
			require.NotEqual(t, got[0].Name, got[1].Name)
		})
	}
	require.Empty(t, Holders("id", from, nil))
	require.Len(t, Holders("id", from, fleet()[:1]), 1)
}

// Lookup always includes the holders, whichever peer is leaving.
func TestLookupFindsHolders(t *testing.T) {
	schedule.Check(t, 1, "lookup_random_holders", func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		peers := fleet()
		gone := rapid.IntRange(0, len(peers)-1).Draw(t, "leaving")
		peers[gone].Leaving = true
		asked := map[string]bool{}
		for _, p := range Lookup(id, "a0", peers) {
			asked[p.Name] = true
		}
		require.True(t, asked["a0"])
		for _, p := range Holders(id, from, peers) {
			require.True(t, asked[p.Name])
		}
	})
}

func TestKeep(t *testing.T) {
	cases := []struct {
		name string
		left time.Duration
		p    Progress
		want bool
	}{
		{"queued", time.Hour, Progress{}, false},
		{"nearly done", 10 * time.Second, Progress{Dispatched: true, Running: time.Second, Generated: 100, Left: 10}, true},
		{"much left to generate", 10 * time.Second, Progress{Dispatched: true, Running: time.Second, Generated: 10, Left: 1000}, false},
		{"no token yet, much time", time.Minute, Progress{Dispatched: true, Left: 10}, true},
		{"no token yet, little time", 3 * time.Second, Progress{Dispatched: true, Left: 10}, false},
		{"past the deadline", -time.Second, Progress{Dispatched: true, Running: time.Second, Generated: 1, Left: 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, FinishesInTime(c.left, c.p)) })
	}
}

func TestEpochsDiffer(t *testing.T) {
	require.Equal(t, uint64(2), Epoch(1, 0))
	require.Equal(t, uint64(3), Epoch(1, 1))
}

func TestNearAndSpans(t *testing.T) {
	peers := fleet("a")
	require.True(t, CrossesRegions(from, Holders("id", from, peers)), "the backup is in the other region")
	near := Holders("id", from, SameRegion(from, peers))
	require.False(t, CrossesRegions(from, near))
	require.Equal(t, []string{"b", "b"}, []string{near[0].Zone, near[1].Zone})
}

func TestValid(t *testing.T) {
	peers := fleet("a")
	cases := []struct {
		name    string
		holders []string
		peers   []Peer
		want    bool
	}{
		{"none", nil, peers, false},
		{"both stay", []string{"b0", "c0"}, peers, true},
		{"one is leaving", []string{"a0", "c0"}, peers, false},
		{"one of many", []string{"b0"}, peers, false},
		{"the only one", []string{"b0"}, []Peer{{Name: "b0"}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, HoldersValid(c.holders, c.peers)) })
	}
}
