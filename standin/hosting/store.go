// Package hosting is the stand-in for the hosting platform: the Object API, the
// host list, reclaim notices, host orders and the weight store. Faults that the
// real services show can be injected.
package hosting

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"jaylink/objects"
)

// store holds the objects and their history. Every write increments the revision
// and appends one event.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]objects.Record
	events   []objects.Record
	changed  chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]map[string]objects.Record{}, changed: make(chan struct{})}
}

// get returns an object as it was staleBy revisions ago.
func (s *store) get(kind, name string, staleBy uint64) (objects.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objs := s.objects[kind]
	if staleBy > 0 {
		objs = s.objectsAt(kind, s.revision-min(staleBy, s.revision))
	}
	rec, ok := objs[name]
	return rec, ok
}

// list returns the objects of a kind as they were staleBy revisions ago.
func (s *store) list(kind string, staleBy uint64) objects.RecordList {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, objs := s.revision, s.objects[kind]
	if staleBy > 0 {
		revision -= min(staleBy, revision)
		objs = s.objectsAt(kind, revision)
	}
	list := objects.RecordList{Revision: revision, Items: []objects.Record{}}
	for _, rec := range objs {
		list.Items = append(list.Items, rec)
	}
	slices.SortFunc(list.Items, func(a, b objects.Record) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// objectsAt returns the objects of a kind at an earlier revision. The caller must
// hold s.mu.
func (s *store) objectsAt(kind string, revision uint64) map[string]objects.Record {
	objs := map[string]objects.Record{}
	for _, rec := range s.events[:revision] {
		switch {
		case rec.Kind != kind:
		case rec.Deleted:
			delete(objs, rec.Name)
		default:
			objs[rec.Name] = rec
		}
	}
	return objs
}

// write stores a value if the object is at the given version; version 0 means that
// it must not exist. A nil value deletes the object. If the version does not match,
// write returns the current object and false.
func (s *store) write(kind, name string, version uint64, value json.RawMessage) (objects.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	if current.Version != version {
		if current.Version == 0 {
			current = objects.Record{Kind: kind, Name: name}
		}
		return current, false
	}
	s.revision++
	rec := objects.Record{Kind: kind, Name: name, Version: s.revision, Value: value, Deleted: value == nil}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]objects.Record{}
	}
	s.objects[kind][name] = rec
	if rec.Deleted {
		delete(s.objects[kind], name)
	}
	s.events = append(s.events, rec)
	close(s.changed)
	s.changed = make(chan struct{})
	return rec, true
}

// eventsAfter returns the events after a revision, as they were known staleBy
// revisions ago, and a channel that is closed at the next write.
func (s *store) eventsAfter(kinds []string, after, staleBy uint64) (objects.RecordList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := s.revision - min(staleBy, s.revision)
	list := objects.RecordList{Revision: revision, Items: []objects.Record{}}
	for _, rec := range s.events[min(after, revision):revision] {
		if slices.Contains(kinds, rec.Kind) {
			list.Items = append(list.Items, rec)
		}
	}
	return list, s.changed
}
