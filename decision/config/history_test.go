package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/api"
	"jaylink/internal/schedule"
)

// store is the truth: every write in order; the revision of a write is its
// place, from 1.
type store struct{ events []*api.Object }

func (st *store) revision() uint64 { return uint64(len(st.events)) }

// at returns the objects of the kinds as they stood at a revision.
func (st *store) at(revision uint64, kinds ...api.Kind) map[api.Key]*api.Object {
	out := map[api.Key]*api.Object{}
	for _, o := range st.events[:revision] {
		for _, k := range kinds {
			if o.Kind != k {
				continue
			}
			out[o.Key()] = o
			if o.Deleted {
				delete(out, o.Key())
			}
		}
	}
	return out
}

// last returns the newest write of a key up to a revision.
func (st *store) last(key api.Key, revision uint64) *api.Object {
	for i := int(revision) - 1; i >= 0; i-- {
		if o := st.events[i]; o.Key() == key {
			return o
		}
	}
	return nil
}

// deletedAfter returns the first deletion of a key after a version.
func (st *store) deletedAfter(key api.Key, version uint64) *api.Object {
	for _, o := range st.events[version:] {
		if o.Key() == key && o.Deleted {
			return o
		}
	}
	return nil
}

var testKeys = []api.Key{
	{Kind: api.KindService, Name: "a"}, {Kind: api.KindService, Name: "b"},
	{Kind: api.KindUpstream, Name: "a"}, {Kind: api.KindUpstream, Name: "c"},
}

// node is one entry with the oldest value of each key that it may still show.
type node struct {
	state *State
	least map[api.Key]uint64
}

// check compares what is in force with all that was in force before.
func (n *node) check(t require.TestingT, st *store) {
	for _, key := range testKeys {
		if o := st.last(key, n.state.Revision()); o != nil {
			n.least[key] = max(n.least[key], o.Version)
		}
		o := n.state.Get(key)
		if o != nil && !o.Deleted {
			require.GreaterOrEqual(t, o.Version, n.least[key], "%s went back at revision %d", key, n.state.Revision())
			n.least[key] = o.Version
			continue
		}
		last := st.last(key, n.least[key])
		if last == nil || last.Deleted {
			continue
		}
		deleted := st.deletedAfter(key, last.Version)
		require.NotNil(t, deleted, "%s vanished though it was never deleted", key)
		n.least[key] = deleted.Version
	}
}

// world is several entries before one store, with deltas under way.
type world struct {
	store store
	nodes []*node
	mail  []Delta
}

func (w *world) write(t *rapid.T) {
	key := rapid.SampledFrom(testKeys).Draw(t, "key")
	old := w.store.last(key, w.store.revision())
	deleted := old != nil && !old.Deleted && rapid.IntRange(0, 2).Draw(t, "delete") == 0
	o := &api.Object{Kind: key.Kind, Name: key.Name, Version: w.store.revision() + 1, Deleted: deleted}
	w.store.events = append(w.store.events, o)
	if rapid.Bool().Draw(t, "own") {
		w.pick(t).state.Put(o)
	}
}

func (w *world) pick(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "entry")]
}

// stale draws a revision that a lagging read may show.
func (w *world) stale(t *rapid.T) uint64 {
	return w.store.revision() - min(w.store.revision(), uint64(rapid.IntRange(0, 6).Draw(t, "lag")))
}

// list reads the kinds one after the other, perhaps not to the end.
func (w *world) list(t *rapid.T) {
	n, lowest := w.pick(t), uint64(0)
	for i, kind := range api.ConfigKinds {
		if rapid.IntRange(0, 9).Draw(t, "breaks") == 0 {
			return
		}
		at := w.stale(t)
		n.state.MergeList(kind, at, values(w.store.at(at, kind)))
		if i == 0 || at < lowest {
			lowest = at
		}
	}
	n.state.Complete(lowest)
}

func values(m map[api.Key]*api.Object) []*api.Object {
	var out []*api.Object
	for _, o := range m {
		out = append(out, o)
	}
	return out
}

// watch reads the events after the entry's revision, or replays older ones.
func (w *world) watch(t *rapid.T) {
	n, until := w.pick(t), w.stale(t)
	after := n.state.Cursor()
	from := after
	if rapid.IntRange(0, 3).Draw(t, "replay") == 0 {
		from = uint64(rapid.IntRange(0, int(after)).Draw(t, "from"))
	}
	if from > until {
		return
	}
	n.state.Merge(Delta{Revision: until, After: after, Objects: w.store.events[from:until]})
}

// send puts a delta for some entry's present revision, or any older one, under way.
func (w *world) send(t *rapid.T) {
	from, to := w.pick(t), w.pick(t)
	after := to.state.Revision()
	if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
		after = uint64(rapid.IntRange(0, int(after)).Draw(t, "after"))
	}
	w.mail = append(w.mail, from.state.Since(after))
}

// deliver hands a delta to any entry, perhaps again later.
func (w *world) deliver(t *rapid.T) {
	if len(w.mail) == 0 {
		return
	}
	w.pick(t).state.Merge(rapid.SampledFrom(w.mail).Draw(t, "delta"))
}

// Whatever is stale, replayed, reordered, partitioned, deleted, created again
// or pruned: no entry ever goes back, and in the end all agree with the store.
func TestNothingReverts(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		w := &world{}
		for range 3 {
			s := New()
			s.limit = rapid.IntRange(1, 4).Draw(t, "tombstones")
			w.nodes = append(w.nodes, &node{state: s, least: map[api.Key]uint64{}})
		}
		steps := []func(*rapid.T){w.write, w.write, w.list, w.watch, w.watch, w.send, w.deliver, w.deliver}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
			for _, n := range w.nodes {
				n.check(t, &w.store)
			}
		}
		w.settle(t)
	})
}

// settle lets one entry read everything and the others learn it from a peer.
func (w *world) settle(t *rapid.T) {
	first := w.nodes[0]
	for _, kind := range api.ConfigKinds {
		first.state.MergeList(kind, w.store.revision(), values(w.store.at(w.store.revision(), kind)))
	}
	first.state.Complete(w.store.revision())
	want := w.store.at(w.store.revision(), api.ConfigKinds...)
	for i, n := range w.nodes {
		n.state.Merge(w.nodes[max(i-1, 0)].state.Since(n.state.Revision()))
		n.check(t, &w.store)
		got := map[api.Key]*api.Object{}
		for _, o := range n.state.Objects() {
			got[o.Key()] = o
		}
		require.Equal(t, want, got, "entry %d", i)
		require.Equal(t, first.state.Digest(), n.state.Digest())
	}
}

func TestObjectThatWasDeletedBeforeTheListDoesNotComeBack(t *testing.T) {
	s := New()
	for _, kind := range api.ConfigKinds {
		s.MergeList(kind, 10, nil)
	}
	s.Complete(10)
	require.False(t, s.Put(object("zombie", 6, false)), "it was deleted at 9, as the list shows")
}

func TestPeerBehindTheHorizonGetsASnapshotThatDeletes(t *testing.T) {
	behind := New()
	behind.Merge(Delta{Revision: 7, Objects: []*api.Object{object("gone", 6, false), object("kept", 5, false)}})
	ahead := New()
	for _, kind := range api.ConfigKinds {
		var list []*api.Object
		if kind == api.KindService {
			list = append(list, object("kept", 5, false))
		}
		ahead.MergeList(kind, 10, list)
	}
	ahead.Complete(10)
	d := ahead.Since(behind.Revision())
	require.True(t, d.Snapshot)
	require.True(t, behind.Merge(d))
	require.Nil(t, liveNames(behind, "gone"))
	require.NotNil(t, liveNames(behind, "kept"))
	require.Equal(t, uint64(10), behind.Revision())
}

func TestObjectCreatedAgainAfterTheListIsNotHidden(t *testing.T) {
	s := New()
	s.Put(object("a", 5, false))
	s.MergeList(api.KindService, 7, nil)
	require.Nil(t, liveNames(s, "a"))
	require.True(t, s.Put(object("a", 8, false)))
	require.False(t, s.MergeList(api.KindService, 6, nil), "a list older than the last one says nothing")
	require.NotNil(t, liveNames(s, "a"))
}

// Found by TestNothingReverts: a tombstone in the snapshot is older than what
// the receiver knows, and what the receiver knows was deleted later again.
func TestOldTombstoneInASnapshotHidesNoDeletion(t *testing.T) {
	ahead, behind := New(), New()
	ahead.Put(object("a", 2, true))
	for _, kind := range api.ConfigKinds {
		ahead.MergeList(kind, 4, nil)
	}
	ahead.Complete(4)
	behind.Put(object("a", 3, false))
	behind.Merge(ahead.Since(behind.Revision()))
	require.Nil(t, liveNames(behind, "a"), "deleted at 4")
}

func TestTombstonesAreBounded(t *testing.T) {
	s := New()
	s.limit = 8
	for i := uint64(1); i <= 100; i++ {
		s.Merge(Delta{Revision: i, After: i - 1, Objects: []*api.Object{object(fmt.Sprint(i), i, true)}})
		require.LessOrEqual(t, s.tombstones, 8)
	}
	require.True(t, s.Since(3).Snapshot)
	require.False(t, s.Since(99).Snapshot)
}
