// Package config decides which version of each configuration object is in force
// on an entry. It does no I/O and reads no clock.
//
// State merges updates in any order: lists and watches of the platform's store,
// which may be stale or replayed, and deltas from peers. An object in force is
// never replaced by an older version, and a deleted object is never restored by
// an older write.
//
// This relies on three revisions of the store:
//   - Each object's Version is the revision of its last write.
//   - State.Revision is the revision up to which every change is known. An
//     object at or below it that differs from the known one is out of date, even
//     if no object of that name is known.
//   - State.Horizon is the revision above which every deletion is still kept as a
//     tombstone. A peer whose revision is below it needs a snapshot, because a
//     delta could not tell it which objects to remove.
//
// The platform must provide consistent lists and watches: they show the store as
// it was at the revision that they name, however old that is.
package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaylink/api"
)

// maxTombstones is the maximum number of tombstones kept for lagging peers.
const maxTombstones = 2048

// State is the configuration as one entry knows it. It is not safe for
// concurrent use.
type State struct {
	revision uint64
	// cursor is at or above revision. Every change up to it is known, but
	// some kinds may have been listed at a later revision and include later
	// changes.
	cursor  uint64
	horizon uint64
	// raiseHorizon means that the horizon rises to the revision when that is
	// next advanced. It is set after a snapshot or complete lists, which do
	// not show all earlier deletions.
	raiseHorizon bool
	objects      map[api.Key]*api.Object
	tombstones   int
	// tombstoneLimit is the number of tombstones above which prune removes
	// some.
	tombstoneLimit int
	// listedAt is the revision of the newest list of each kind. It may be
	// above the cursor until all kinds have been listed.
	listedAt map[api.Kind]uint64
}

// Delta carries changes of the configuration from a peer or a watch.
type Delta struct {
	// Revision is the revision up to which the sender knows every change.
	Revision uint64
	// After is the revision after which the delta contains every change up
	// to Revision, including deletions. It is ignored in a snapshot.
	After uint64
	// Snapshot means that Objects is complete: any other object with a
	// version at or below Revision has been deleted.
	Snapshot bool
	Objects  []*api.Object
}

// New returns an empty State.
func New() *State {
	return &State{objects: map[api.Key]*api.Object{}, listedAt: map[api.Kind]uint64{}, tombstoneLimit: maxTombstones}
}

// Revision returns the revision up to which every change is known.
func (s *State) Revision() uint64 { return s.revision }

// Cursor returns the revision from which a watch must continue.
func (s *State) Cursor() uint64 { return s.cursor }

// Horizon returns the revision above which every deletion is kept as a tombstone.
func (s *State) Horizon() uint64 { return s.horizon }

// Get returns the known version of an object, which may be a tombstone, or nil.
func (s *State) Get(key api.Key) *api.Object { return s.objects[key] }

// Put merges one object and reports whether it is newer than the known version.
func (s *State) Put(o *api.Object) bool {
	switch {
	case o.Version <= s.cursor:
		return false
	case o.Deleted || o.Version > s.listedAt[o.Kind]:
		return s.store(o)
	}
	if s.objects[o.Key()] == nil {
		// The later list does not contain the object, so it has been
		// deleted. Peers at an earlier revision may still have it, so a
		// tombstone is kept for them.
		s.store(&api.Object{Kind: o.Kind, Name: o.Name, Version: s.listedAt[o.Kind], Deleted: true})
	}
	return false
}

// knownUpTo returns the revision up to which every change of a kind is known.
func (s *State) knownUpTo(kind api.Kind) uint64 { return max(s.cursor, s.listedAt[kind]) }

// store keeps an object or tombstone unless the known version is as new, and
// reports whether it did.
func (s *State) store(o *api.Object) bool {
	old := s.objects[o.Key()]
	if old != nil && old.Version >= o.Version {
		return false
	}
	if old != nil && old.Deleted {
		s.tombstones--
	}
	if o.Deleted {
		s.tombstones++
	}
	s.objects[o.Key()] = o
	return true
}

// Merge merges a delta or snapshot and reports whether any object changed. The
// cursor and the revision never decrease, and they increase only if the delta
// leaves no gap.
func (s *State) Merge(d Delta) bool {
	changed := false
	for _, o := range d.Objects {
		changed = s.Put(o) || changed
	}
	if d.Revision <= s.cursor {
		return changed
	}
	if d.Snapshot {
		changed = s.removeAbsent(d.Revision, d.Objects, api.ConfigKinds...) || changed
		s.raiseHorizon = true
	}
	if d.Snapshot || d.After <= s.cursor {
		s.advance(d.Revision)
	}
	return changed
}

// advance raises the cursor. It also raises the revision, unless a kind was
// listed at a revision after the cursor: until the cursor reaches it, the state
// mixes several revisions and must not be presented to peers as one of them.
func (s *State) advance(revision uint64) {
	s.cursor = max(s.cursor, revision)
	for _, listed := range s.listedAt {
		if listed > s.cursor {
			return
		}
	}
	s.revision = s.cursor
	if s.raiseHorizon {
		s.horizon, s.raiseHorizon = s.revision, false
	}
	s.prune()
}

// MergeList merges a complete list of the objects of one kind at a revision, and
// reports whether any object changed. The caller calls ListsComplete once all kinds
// have been listed, to raise the cursor.
func (s *State) MergeList(kind api.Kind, revision uint64, objects []*api.Object) bool {
	if revision <= s.knownUpTo(kind) {
		return false
	}
	changed := false
	for _, o := range objects {
		changed = s.Put(o) || changed
	}
	changed = s.removeAbsent(revision, objects, kind) || changed
	s.listedAt[kind] = revision
	return changed
}

// ListsComplete records that every kind has been listed at the given revision or
// later. If some were listed later, the revision rises with subsequent watch
// events.
func (s *State) ListsComplete(revision uint64) {
	if revision > s.cursor {
		s.raiseHorizon = true
		s.advance(revision)
	}
}

// removeAbsent replaces the objects of the given kinds that are missing from a
// list by tombstones, unless they are newer than the list's revision.
func (s *State) removeAbsent(revision uint64, objects []*api.Object, kinds ...api.Kind) bool {
	present := map[api.Key]bool{}
	for _, o := range objects {
		present[o.Key()] = !o.Deleted
	}
	changed := false
	for key, o := range s.objects {
		if !slices.Contains(kinds, key.Kind) || present[key] || o.Deleted || o.Version > revision {
			continue
		}
		changed = s.store(&api.Object{Kind: key.Kind, Name: key.Name, Version: revision, Deleted: true}) || changed
	}
	return changed
}

// prune removes the oldest tombstones if there are more than the limit, and
// raises the horizon. It removes only tombstones at or below the revision, since
// a later list or delta could otherwise restore the deleted objects.
func (s *State) prune() {
	if s.tombstones <= s.tombstoneLimit {
		return
	}
	var old []*api.Object
	for _, o := range s.objects {
		if o.Deleted && o.Version <= s.revision {
			old = append(old, o)
		}
	}
	slices.SortFunc(old, byVersion)
	for _, o := range old[:min(s.tombstones-s.tombstoneLimit/2, len(old))] {
		delete(s.objects, o.Key())
		s.tombstones--
		s.horizon = max(s.horizon, o.Version)
	}
}

func byVersion(a, b *api.Object) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key().String(), b.Key().String()))
}

// Since returns what a peer at the given revision lacks, oldest first: the newer
// objects and tombstones, or a snapshot if tombstones that it lacks have been
// pruned.
func (s *State) Since(revision uint64) Delta {
	d := Delta{Revision: s.revision, After: revision, Snapshot: revision < s.horizon}
	for _, o := range s.objects {
		if o.Version > revision || (d.Snapshot && !o.Deleted) {
			d.Objects = append(d.Objects, o)
		}
	}
	slices.SortFunc(d.Objects, byVersion)
	return d
}

// Objects returns the existing objects in key order, without tombstones.
func (s *State) Objects() []*api.Object {
	var list []*api.Object
	for _, o := range s.objects {
		if !o.Deleted {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *api.Object) int { return cmp.Compare(a.Key().String(), b.Key().String()) })
	return list
}

// Digest returns a hash of the existing objects and their versions. If two
// entries at the same revision have different digests, they know different
// changes after that revision.
func (s *State) Digest() uint64 {
	var sum uint64
	for _, o := range s.objects {
		if o.Deleted {
			continue
		}
		var version [8]byte
		for i := range version {
			version[i] = byte(o.Version >> (8 * i))
		}
		sum ^= xxhash.Sum64String(o.Key().String() + "\x00" + string(version[:]))
	}
	return sum
}
