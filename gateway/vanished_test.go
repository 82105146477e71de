package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/objects"
	"jaylink/platform"
)

// upstreamChange is a change of the upstream list: ID to state, "" for removed.
func upstreamChange(revision uint64, states map[string]string) change {
	c := change{RecordList: objects.RecordList{Revision: revision}}
	for id, state := range states {
		rec := objects.Record{Kind: platform.KindUpstreams, Name: id, Version: revision, Deleted: state == ""}
		rec.Value = fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","zone":"z","state":%q,"born":1}`, state)
		c.Items = append(c.Items, rec)
	}
	return c
}

// listOf merges changes as takeUpstreams does, a second apart.
func listOf(now time.Time, changes ...change) (*upstreamList, time.Time) {
	var list *upstreamList
	for _, c := range changes {
		now = now.Add(time.Second)
		next := mergeUpstreams(list, c, slog.New(slog.DiscardHandler).Warn)
		next.keepVanished(list, now, lapseGrace)
		list = next
	}
	return list, now
}

func readyUpstreams(count int) map[string]string {
	out := map[string]string{}
	for i := range count {
		out[fmt.Sprint("i-", i)] = "ready"
	}
	return out
}

// Upstreams that vanish together are kept for a while. What comes next on the watch
// does not make that for good.
func TestVanishedUpstreamIsKeptForGoodByTheNextChange(t *testing.T) {
	list, now := listOf(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(3)),
		upstreamChange(2, map[string]string{"i-0": "", "i-1": ""}),
		upstreamChange(3, map[string]string{"i-3": "ready"}),
	)
	require.Len(t, list.list, 4)
	require.Len(t, list.vanished, 2, "they are still to be dropped")
	next := list.withoutVanished(now.Add(lapseGrace), lapseGrace)
	require.Len(t, next.list, 2)
	require.Contains(t, next.list, "i-2")
	require.Contains(t, next.list, "i-3")
}

func TestVanishedUpstreamThatIsBackStays(t *testing.T) {
	list, now := listOf(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(3)),
		upstreamChange(2, map[string]string{"i-0": "", "i-1": ""}),
		upstreamChange(3, map[string]string{"i-0": "ready"}),
	)
	next := list.withoutVanished(now.Add(lapseGrace), lapseGrace)
	require.Contains(t, next.list, "i-0")
	require.NotContains(t, next.list, "i-1")
}

// Four upstreams drain and go, and one goes without a word at the same time: that is
// planned work, and not a store that has forgotten most upstreams.
func TestUpstreamBesideDrainedOnesIsTakenForLapsed(t *testing.T) {
	list, _ := listOf(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(7)),
		upstreamChange(2, map[string]string{"i-0": "draining", "i-1": "draining", "i-2": "draining", "i-3": "draining"}),
		upstreamChange(3, map[string]string{"i-0": "", "i-1": "", "i-2": "", "i-3": "", "i-4": ""}),
	)
	require.Empty(t, list.vanished)
	require.Len(t, list.list, 2)
}
