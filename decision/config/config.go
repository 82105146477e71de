// Package config decides which version of each object is in force on an entry.
// It does no I/O and reads no clock.
//
// State takes what comes from anywhere, in any order: lists and watches of the
// platform, which may be stale or replayed, and deltas of peers. Nothing that
// was in force is ever replaced by something older, deletions included.
//
// Three revisions of the store carry this. Each object's Version is the
// revision of its last write. State.Revision is the one up to which every
// change is known: an object at or below it that differs from what is held is
// out of date, even if nothing of that name is held. State.Horizon is the one
// above which every deletion is still held as a tombstone: a peer whose
// revision is below it needs a snapshot, because a delta could not tell it what
// to remove.
//
// The platform's part of the contract: a list and a watch are consistent, that
// is, they show the store as it was at the revision that they name, however old.
package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jaylink/api"
)

// maxTombstones is how many deletions are held for peers that lag.
const maxTombstones = 2048

// State is what one entry knows of the configuration.
type State struct {
	revision uint64
	// cursor is at or above revision: every change up to it is known, but
	// some kinds were listed at a later revision and may show later changes.
	cursor  uint64
	horizon uint64
	// relisted says that the horizon rises with the next revision.
	relisted   bool
	objects    map[api.Key]*api.Object
	tombstones int
	// limit is how many tombstones are held.
	limit int
	// listed is the revision up to which a kind was listed while the other
	// kinds were not yet.
	listed map[api.Kind]uint64
}

// Delta carries objects from one entry or list to another.
type Delta struct {
	// Revision is the revision up to which the sender knows every change.
	Revision uint64
	// After is the revision after which the delta has every change,
	// deletions included. It means nothing in a snapshot.
	After uint64
	// Snapshot says that Objects are all that exist: what else was known at
	// or below Revision is deleted.
	Snapshot bool
	Objects  []*api.Object
}

// New returns an empty state.
func New() *State {
	return &State{objects: map[api.Key]*api.Object{}, listed: map[api.Kind]uint64{}, limit: maxTombstones}
}

// Revision returns the revision up to which every change is known.
func (s *State) Revision() uint64 { return s.revision }

// Cursor returns the revision after which a watch goes on.
func (s *State) Cursor() uint64 { return s.cursor }

// Horizon returns the revision above which every deletion is held.
func (s *State) Horizon() uint64 { return s.horizon }

// Get returns the object as it is in force, perhaps a tombstone; nil if none
// is known.
func (s *State) Get(key api.Key) *api.Object { return s.objects[key] }

// Put takes one object. It reports whether it is newer than what was in force.
func (s *State) Put(o *api.Object) bool {
	switch {
	case o.Version <= s.cursor:
		return false
	case o.Deleted || o.Version > s.listed[o.Kind]:
		return s.put(o)
	}
	if s.objects[o.Key()] == nil {
		// The list shows that it was deleted since. Peers at a revision
		// before that may hold it, so the deletion is kept for them.
		s.put(&api.Object{Kind: o.Kind, Name: o.Name, Version: s.listed[o.Kind], Deleted: true})
	}
	return false
}

// floor is the revision up to which every change of a kind is known.
func (s *State) floor(kind api.Kind) uint64 { return max(s.cursor, s.listed[kind]) }

func (s *State) put(o *api.Object) bool {
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

// Merge takes a delta or snapshot and reports whether anything changed. The
// revision only rises, and only if the delta leaves no gap.
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
		s.relisted = true
	}
	if d.Snapshot || d.After <= s.cursor {
		s.advance(d.Revision)
	}
	return changed
}

// advance raises the cursor, and the revision once no kind was listed after it:
// until then the state is a mixture that no peer may take for a revision.
func (s *State) advance(revision uint64) {
	s.cursor = max(s.cursor, revision)
	for _, listed := range s.listed {
		if listed > s.cursor {
			return
		}
	}
	s.revision = s.cursor
	if s.relisted {
		s.horizon, s.relisted = s.revision, false
	}
	s.prune()
}

// MergeList takes a complete list of one kind as it stood at a revision, and
// reports whether anything changed. Once all kinds have been listed, Complete
// raises the cursor.
func (s *State) MergeList(kind api.Kind, revision uint64, objects []*api.Object) bool {
	if revision <= s.floor(kind) {
		return false
	}
	changed := false
	for _, o := range objects {
		changed = s.Put(o) || changed
	}
	changed = s.removeAbsent(revision, objects, kind) || changed
	s.listed[kind] = revision
	return changed
}

// Complete says that every kind was listed at the revision or after it. Where
// some were listed after it, the revision rises with the next watch.
func (s *State) Complete(revision uint64) {
	if revision > s.cursor {
		s.relisted = true
		s.advance(revision)
	}
}

// removeAbsent turns what a list of kinds lacks into tombstones, unless it is
// newer than the list.
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
		changed = s.put(&api.Object{Kind: key.Kind, Name: key.Name, Version: revision, Deleted: true}) || changed
	}
	return changed
}

// prune drops the oldest tombstones above the bound and raises the horizon.
// Only those at or below the revision may go: a later list or delta would
// otherwise bring back what they deleted.
func (s *State) prune() {
	if s.tombstones <= s.limit {
		return
	}
	var old []*api.Object
	for _, o := range s.objects {
		if o.Deleted && o.Version <= s.revision {
			old = append(old, o)
		}
	}
	slices.SortFunc(old, byVersion)
	for _, o := range old[:min(s.tombstones-s.limit/2, len(old))] {
		delete(s.objects, o.Key())
		s.tombstones--
		s.horizon = max(s.horizon, o.Version)
	}
}

func byVersion(a, b *api.Object) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key().String(), b.Key().String()))
}

// Since returns what a peer at a revision lacks, oldest first: the objects that
// are newer, or a snapshot if deletions that it lacks are no longer held.
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

// Objects returns the objects that exist, in key order.
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

// Digest is a hash of the objects that exist and their versions. Two entries
// at the same revision with different digests know different later changes.
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
