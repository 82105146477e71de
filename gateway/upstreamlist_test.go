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

// upstreamChange returns changes to the upstream list that set upstreams to states; the
// state "" removes an upstream.
func upstreamChange(revision uint64, states map[string]string) objectChanges {
	c := objectChanges{RecordList: objects.RecordList{Revision: revision}}
	for id, state := range states {
		rec := objects.Record{Kind: platform.KindUpstreams, Name: id, Version: revision, Deleted: state == ""}
		rec.Value = fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","zone":"z","state":%q,"born":1}`, state)
		c.Items = append(c.Items, rec)
	}
	return c
}

// mergeChanges merges changes as applyUpstreams does, one second apart, and returns the
// list and the time of the last change.
func mergeChanges(now time.Time, changes ...objectChanges) (*upstreamList, time.Time) {
	var list *upstreamList
	for _, c := range changes {
		now = now.Add(time.Second)
		next := mergeUpstreams(list, c, slog.New(slog.DiscardHandler).Warn)
		next.keepMissing(list, now, maxMissingTime)
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

// Upstreams that disappear together are kept for a limited time. A later change from the
// watch must not make them permanent.
func TestVanishedUpstreamIsKeptForGoodByTheNextChange(t *testing.T) {
	list, now := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(3)),
		upstreamChange(2, map[string]string{"i-0": "", "i-1": ""}),
		upstreamChange(3, map[string]string{"i-3": "ready"}),
	)
	require.Len(t, list.upstreams, 4)
	require.Len(t, list.missing, 2, "they must still be dropped later")
	next := list.withoutExpired(now.Add(maxMissingTime), maxMissingTime)
	require.Len(t, next.upstreams, 2)
	require.Contains(t, next.upstreams, "i-2")
	require.Contains(t, next.upstreams, "i-3")
}

func TestReturnedUpstreamIsKept(t *testing.T) {
	list, now := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(3)),
		upstreamChange(2, map[string]string{"i-0": "", "i-1": ""}),
		upstreamChange(3, map[string]string{"i-0": "ready"}),
	)
	next := list.withoutExpired(now.Add(maxMissingTime), maxMissingTime)
	require.Contains(t, next.upstreams, "i-0")
	require.NotContains(t, next.upstreams, "i-1")
}

// Four upstreams drain and are removed, and one is removed without draining at the same
// time. This is planned work, and must not be mistaken for a store that has lost most
// registrations.
func TestUpstreamBesideDrainedOnesIsTakenForLapsed(t *testing.T) {
	list, _ := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(7)),
		upstreamChange(2, map[string]string{"i-0": "draining", "i-1": "draining", "i-2": "draining", "i-3": "draining"}),
		upstreamChange(3, map[string]string{"i-0": "", "i-1": "", "i-2": "", "i-3": "", "i-4": ""}),
	)
	require.Empty(t, list.missing)
	require.Len(t, list.upstreams, 2)
}
