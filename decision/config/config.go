// Package config decides which version of each object is in force on an entry.
// It does no I/O and reads no clock.
//
// State takes what comes from anywhere, in any order: lists and watches of the
// platform, which may be stale or replayed, and deltas of peers. Per object the
// version only rises, deletions included, so nothing that was in force is ever
// replaced by something older.
package config

import (
	"cmp"
	"slices"

	"jaylink/api"
)

// State is what one entry knows of the configuration.
type State struct {
	revision uint64
	objects  map[api.Key]*api.Object
}

// Delta carries objects from one entry or list to another.
type Delta struct {
	// Revision is the revision up to which the sender knows every change.
	Revision uint64
	// After is the revision after which the delta has every change; 0 means
	// that it has every object, deletions included.
	After   uint64
	Objects []*api.Object
}

// New returns an empty state.
func New() *State { return &State{objects: map[api.Key]*api.Object{}} }

// Revision returns the revision up to which every change is known.
func (s *State) Revision() uint64 { return s.revision }

// Get returns the object as it is in force; nil if it was never known.
func (s *State) Get(key api.Key) *api.Object { return s.objects[key] }

// Put takes one object. It reports whether it is newer than what was in force.
func (s *State) Put(o *api.Object) bool {
	old := s.objects[o.Key()]
	if old != nil && old.Version >= o.Version {
		return false
	}
	s.objects[o.Key()] = o
	return true
}

// Merge takes a delta and reports whether anything changed. The revision only
// rises, and only if the delta leaves no gap.
func (s *State) Merge(d Delta) bool {
	changed := false
	for _, o := range d.Objects {
		changed = s.Put(o) || changed
	}
	if d.After <= s.revision && d.Revision > s.revision {
		s.revision = d.Revision
	}
	return changed
}

// MergeList takes a complete list of one kind as it stood at a revision.
// Objects that the list lacks were deleted, unless they are newer than it.
// It reports whether anything changed; the revision stays as it is.
func (s *State) MergeList(kind api.Kind, revision uint64, objects []*api.Object) bool {
	changed := false
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		changed = s.Put(o) || changed
	}
	for key, o := range s.objects {
		if key.Kind != kind || listed[key.Name] || o.Deleted || o.Version > revision {
			continue
		}
		s.objects[key] = &api.Object{Kind: key.Kind, Name: key.Name, Version: revision, Deleted: true}
		changed = true
	}
	return changed
}

// Complete says that every change up to the revision has been merged.
func (s *State) Complete(revision uint64) { s.revision = max(s.revision, revision) }

// Since returns the objects that are newer than a revision, oldest first.
func (s *State) Since(revision uint64) Delta {
	d := Delta{Revision: s.revision, After: revision}
	for _, o := range s.objects {
		if o.Version > revision {
			d.Objects = append(d.Objects, o)
		}
	}
	slices.SortFunc(d.Objects, func(a, b *api.Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key().String(), b.Key().String()))
	})
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
