package config

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/api"
	"jaylink/internal/schedule"
)

// store simulates the platform's store. It keeps all writes in order; the
// revision of a write is its position, counted from 1.
type store struct{ events []*api.Object }

func (st *store) revision() uint64 { return uint64(len(st.events)) }

// objectsAt returns the objects of the kinds that existed at a revision.
func (st *store) objectsAt(revision uint64, kinds ...api.Kind) map[api.Key]*api.Object {
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

// lastWrite returns the newest write of a key up to a revision.
func (st *store) lastWrite(key api.Key, revision uint64) *api.Object {
	for i := int(revision) - 1; i >= 0; i-- {
		if o := st.events[i]; o.Key() == key {
			return o
		}
	}
	return nil
}

// firstDeletionAfter returns the first deletion of a key after a version.
func (st *store) firstDeletionAfter(key api.Key, version uint64) *api.Object {
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

// node is one entry with the oldest version of each key that it may still have
// in force.
type node struct {
	state      *State
	minVersion map[api.Key]uint64
}

// checkNoRevert checks that no object in force is older than one that was in
// force before, and that a missing object was deleted in the store.
func (n *node) checkNoRevert(t require.TestingT, st *store) {
	for _, key := range testKeys {
		if o := st.lastWrite(key, n.state.Revision()); o != nil {
			n.minVersion[key] = max(n.minVersion[key], o.Version)
		}
		o := n.state.Get(key)
		if o != nil && !o.Deleted {
			require.GreaterOrEqual(t, o.Version, n.minVersion[key], "%s reverted at revision %d", key, n.state.Revision())
			n.minVersion[key] = o.Version
			continue
		}
		last := st.lastWrite(key, n.minVersion[key])
		if last == nil || last.Deleted {
			continue
		}
		deleted := st.firstDeletionAfter(key, last.Version)
		require.NotNil(t, deleted, "%s is missing although it was never deleted", key)
		n.minVersion[key] = deleted.Version
	}
}

// simulation is a store and several entries, with the deltas sent between them.
type simulation struct {
	store  store
	nodes  []*node
	deltas []Delta
}

// write writes or deletes a random object and may put it in force on an entry at
// once.
func (s *simulation) write(t *rapid.T) {
	key := rapid.SampledFrom(testKeys).Draw(t, "key")
	old := s.store.lastWrite(key, s.store.revision())
	deleted := old != nil && !old.Deleted && rapid.IntRange(0, 2).Draw(t, "delete") == 0
	o := &api.Object{Kind: key.Kind, Name: key.Name, Version: s.store.revision() + 1, Deleted: deleted}
	s.store.events = append(s.store.events, o)
	if rapid.Bool().Draw(t, "own") {
		s.drawNode(t).state.Put(o)
	}
}

func (s *simulation) drawNode(t *rapid.T) *node {
	return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "entry")]
}

// drawRevision draws the revision of a read, which may lag behind the store.
func (s *simulation) drawRevision(t *rapid.T) uint64 {
	return s.store.revision() - min(s.store.revision(), uint64(rapid.IntRange(0, 6).Draw(t, "lag")))
}

// list lists the kinds one after the other on a random entry. It may stop before
// the last one.
func (s *simulation) list(t *rapid.T) {
	n, lowest := s.drawNode(t), uint64(0)
	for i, kind := range api.ConfigKinds {
		if rapid.IntRange(0, 9).Draw(t, "breaks") == 0 {
			return
		}
		at := s.drawRevision(t)
		n.state.MergeList(kind, at, values(s.store.objectsAt(at, kind)))
		if i == 0 || at < lowest {
			lowest = at
		}
	}
	n.state.ListsComplete(lowest)
}

func values(m map[api.Key]*api.Object) []*api.Object {
	var out []*api.Object
	for _, o := range m {
		out = append(out, o)
	}
	return out
}

// watch reads the events after the entry's cursor, and may replay older ones.
func (s *simulation) watch(t *rapid.T) {
	n, until := s.drawNode(t), s.drawRevision(t)
	after := n.state.Cursor()
	from := after
	if rapid.IntRange(0, 3).Draw(t, "replay") == 0 {
		from = uint64(rapid.IntRange(0, int(after)).Draw(t, "from"))
	}
	if from > until {
		return
	}
	n.state.Merge(Delta{Revision: until, After: after, Objects: s.store.events[from:until]})
}

// send sends a delta for an entry's current revision or an older one.
func (s *simulation) send(t *rapid.T) {
	from, to := s.drawNode(t), s.drawNode(t)
	after := to.state.Revision()
	if rapid.IntRange(0, 3).Draw(t, "old") == 0 {
		after = uint64(rapid.IntRange(0, int(after)).Draw(t, "after"))
	}
	s.deltas = append(s.deltas, from.state.Since(after))
}

// deliver merges a sent delta into any entry. A delta may be delivered again.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.deltas) == 0 {
		return
	}
	s.drawNode(t).state.Merge(rapid.SampledFrom(s.deltas).Draw(t, "delta"))
}

// Under stale and replayed reads, reordered, repeated and undelivered deltas,
// deletions, recreations and pruned tombstones, no entry ever reverts to an older
// version, and at the end all entries agree with the store.
func TestNothingReverts(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		sim := &simulation{}
		for range 3 {
			s := New()
			s.tombstoneLimit = rapid.IntRange(1, 4).Draw(t, "tombstones")
			sim.nodes = append(sim.nodes, &node{state: s, minVersion: map[api.Key]uint64{}})
		}
		steps := []func(*rapid.T){sim.write, sim.write, sim.list, sim.watch, sim.watch, sim.send, sim.deliver, sim.deliver}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
			for _, n := range sim.nodes {
				n.checkNoRevert(t, &sim.store)
			}
		}
		sim.converge(t)
	})
}

// converge makes one entry list the whole store and the others merge deltas from
// their predecessors, and checks that all of them agree with the store.
func (s *simulation) converge(t *rapid.T) {
	first := s.nodes[0]
	for _, kind := range api.ConfigKinds {
		first.state.MergeList(kind, s.store.revision(), values(s.store.objectsAt(s.store.revision(), kind)))
	}
	first.state.ListsComplete(s.store.revision())
	want := s.store.objectsAt(s.store.revision(), api.ConfigKinds...)
	for i, n := range s.nodes {
		n.state.Merge(s.nodes[max(i-1, 0)].state.Since(n.state.Revision()))
		n.checkNoRevert(t, &s.store)
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
	s.ListsComplete(10)
	require.False(t, s.Put(object("zombie", 6, false)), "deleted at revision 9, so the list at 10 does not contain it")
}

func TestPeerBehindHorizonGetsSnapshotWithDeletions(t *testing.T) {
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
	ahead.ListsComplete(10)
	d := ahead.Since(behind.Revision())
	require.True(t, d.Snapshot)
	require.True(t, behind.Merge(d))
	require.Nil(t, liveObject(behind, "gone"))
	require.NotNil(t, liveObject(behind, "kept"))
	require.Equal(t, uint64(10), behind.Revision())
}

func TestObjectRecreatedAfterTheListIsVisible(t *testing.T) {
	s := New()
	s.Put(object("a", 5, false))
	s.MergeList(api.KindService, 7, nil)
	require.Nil(t, liveObject(s, "a"))
	require.True(t, s.Put(object("a", 8, false)))
	require.False(t, s.MergeList(api.KindService, 6, nil), "a list older than the last one must be ignored")
	require.NotNil(t, liveObject(s, "a"))
}

// Regression test for a failure found by TestNothingReverts: the snapshot
// contains a tombstone older than the receiver's version of the object, and that
// version was deleted later. The old tombstone must not count as the object
// being present in the snapshot.
func TestOldTombstoneInSnapshotDoesNotHideLaterDeletion(t *testing.T) {
	ahead, behind := New(), New()
	ahead.Put(object("a", 2, true))
	for _, kind := range api.ConfigKinds {
		ahead.MergeList(kind, 4, nil)
	}
	ahead.ListsComplete(4)
	behind.Put(object("a", 3, false))
	behind.Merge(ahead.Since(behind.Revision()))
	require.Nil(t, liveObject(behind, "a"), "deleted by revision 4")
}

func TestTombstonesAreBounded(t *testing.T) {
	s := New()
	s.tombstoneLimit = 8
	for i := uint64(1); i <= 100; i++ {
		s.Merge(Delta{Revision: i, After: i - 1, Objects: []*api.Object{object(fmt.Sprint(i), i, true)}})
		require.LessOrEqual(t, s.tombstones, 8)
	}
	require.True(t, s.Since(3).Snapshot)
	require.False(t, s.Since(99).Snapshot)
}
