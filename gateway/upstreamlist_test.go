package gateway

import (
	"fmt"
	"log/slog"
	"net/url"
	"slices"
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
		c.Items = append(c.Items, upstreamRecord(revision, id, state, 1))
	}
	return c
}

func upstreamRecord(revision uint64, id, state string, born int64) objects.Record {
	rec := objects.Record{Kind: platform.KindUpstreams, Name: id, Version: revision, Deleted: state == ""}
	rec.Value = fmt.Appendf(nil, `{"service":"s","address":"10.0.0.1:80","zone":"z","state":%q,"born":%d}`, state, born)
	return rec
}

// restoredList returns the list of a store that was restored.
func restoredList(era, revision uint64, items ...objects.Record) objectChanges {
	return objectChanges{RecordList: objects.RecordList{Era: era, Revision: revision, Items: items}, complete: true}
}

// mergeChanges merges changes as applyUpstreams does, one second apart, and returns the
// list and the time of the last change.
func mergeChanges(now time.Time, changes ...objectChanges) (*upstreamList, time.Time) {
	var list *upstreamList
	for _, c := range changes {
		now = now.Add(time.Second)
		list = mergeUpstreams(list, c, now, maxMissingTime, slog.New(slog.DiscardHandler).Warn)
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

// readyIDs returns the upstreams that may get requests.
func readyIDs(list *upstreamList) []string {
	var ids []string
	for id, u := range list.upstreams {
		if !u.Draining {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// A copy of the store lists upstreams that have been draining or gone since as ready.
func TestUpstreamThatLeftBeforeARestoreIsUsedAgain(t *testing.T) {
	list, now := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(4)),
		upstreamChange(2, map[string]string{"i-0": "draining", "i-1": "draining"}),
		upstreamChange(3, map[string]string{"i-1": "", "i-2": ""}),
		restoredList(2, 1, upstreamChange(1, readyUpstreams(4)).Items...),
	)
	require.Equal(t, []string{"i-3"}, readyIDs(list))
	require.Equal(t, []string{"i-2"}, list.withheld(), "it may be alive, because it was not draining")
	// A second restore must not forget it.
	next := mergeUpstreams(list, restoredList(3, 1, upstreamChange(1, readyUpstreams(4)).Items...), now, maxMissingTime, slog.New(slog.DiscardHandler).Warn)
	require.Equal(t, []string{"i-3"}, readyIDs(next))
	// It has renewed its registration, or this would have lapsed.
	require.Equal(t, []string{"i-2", "i-3"}, readyIDs(next.withoutWithheld(slog.New(slog.DiscardHandler).Warn)))
}

func TestUpstreamThatWasGoneBeforeARestoreReturnsWithItsNextChange(t *testing.T) {
	list, _ := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(2)),
		upstreamChange(2, map[string]string{"i-0": ""}),
		restoredList(2, 1, upstreamChange(1, readyUpstreams(2)).Items...),
		objectChanges{RecordList: objects.RecordList{Era: 2, Revision: 2, Items: []objects.Record{upstreamRecord(2, "i-0", "ready", 1)}}},
	)
	require.Equal(t, []string{"i-0", "i-1"}, readyIDs(list))
}

// A new process under the ID of an upstream that left is another upstream.
func TestRestartedUpstreamIsNotWithheldAfterARestore(t *testing.T) {
	list, _ := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(2)),
		upstreamChange(2, map[string]string{"i-0": "draining"}),
		restoredList(2, 1, upstreamRecord(1, "i-0", "ready", 2), upstreamRecord(1, "i-1", "ready", 1)),
	)
	require.Equal(t, []string{"i-0", "i-1"}, readyIDs(list))
}

// An upstream that registered after the copy, or restarted, is not in the copy. It must be
// kept until it has had time to register again, and no longer.
func TestUpstreamThatTheCopyLacksIsLost(t *testing.T) {
	restarted := upstreamChange(2, map[string]string{"i-3": "ready"})
	restarted.Items = append(restarted.Items, upstreamRecord(2, "i-0", "ready", 7))
	list, now := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(3)), restarted,
		restoredList(2, 1, upstreamChange(1, readyUpstreams(3)).Items...),
	)
	require.Equal(t, []string{"i-0", "i-1", "i-2", "i-3"}, readyIDs(list))
	require.Equal(t, int64(7), list.upstreams["i-0"].StartMillis)
	require.Len(t, list.missing, 2)
	require.Equal(t, []string{"i-1", "i-2"}, readyIDs(list.withoutExpired(now.Add(maxMissingTime), maxMissingTime)))
}

// Upstreams that are kept for a while although they are not registered must not be passed on
// as registered: their removal later changes no revision, so peers would keep them for good.
func TestMissingUpstreamIsPassedOnAsRegistered(t *testing.T) {
	list, now := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(3)),
		restoredList(1, 2, upstreamRecord(1, "i-2", "ready", 1)),
	)
	require.Len(t, list.upstreams, 3)
	d := list.delta(objects.Position{Era: 1})
	peer := mergeUpstreams(nil, objectChanges{RecordList: d.RecordList, complete: d.Complete, departed: d.Departed}, now, maxMissingTime, slog.New(slog.DiscardHandler).Warn)
	require.Equal(t, []string{"i-2"}, readyIDs(peer))
}

// A peer whose list is of an earlier era has another state under the same revision.
func TestPeerOfAnEarlierEraGetsOnlyChanges(t *testing.T) {
	list, _ := mergeChanges(time.Unix(1000, 0),
		upstreamChange(1, readyUpstreams(3)),
		restoredList(2, 1, upstreamRecord(1, "i-2", "ready", 1)),
	)
	require.True(t, list.delta(objects.Position{Era: 1, Revision: 1}).Complete)
	require.False(t, list.delta(objects.Position{Era: 2, Revision: 1}).Complete)
	require.Equal(t, objects.Position{Era: 3, Revision: 7}, positionOf(mustParseQuery(t, positionQuery(objects.Position{Era: 3, Revision: 7}))))
	require.Equal(t, objects.Position{Era: 1, Revision: 7}, positionOf(mustParseQuery(t, "after=7")), "an older version sends no era")
}

func mustParseQuery(t *testing.T, text string) url.Values {
	t.Helper()
	query, err := url.ParseQuery(text)
	require.NoError(t, err)
	return query
}
