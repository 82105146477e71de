// Package platform is the stand-in for the hosting platform: the Object API,
// the host list, reclaim notices, host orders and the weight store, with
// switches for the faults that the real ones have.
package hosting

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"jaylink/objects"
)

// store holds the objects and their history. Every write adds one event.
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

// get reads an object as it was so many revisions ago.
func (s *store) get(kind, name string, staleBy uint64) (objects.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[kind]
	if staleBy > 0 {
		held = s.past(kind, s.revision-min(staleBy, s.revision))
	}
	rec, ok := held[name]
	return rec, ok
}

// list reads a kind as it was so many revisions ago.
func (s *store) list(kind string, staleBy uint64) objects.RecordList {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, held := s.revision, s.objects[kind]
	if staleBy > 0 {
		revision -= min(staleBy, revision)
		held = s.past(kind, revision)
	}
	list := objects.RecordList{Revision: revision, Items: []objects.Record{}}
	for _, rec := range held {
		list.Items = append(list.Items, rec)
	}
	slices.SortFunc(list.Items, func(a, b objects.Record) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// past returns the objects of a kind at an earlier revision.
func (s *store) past(kind string, revision uint64) map[string]objects.Record {
	held := map[string]objects.Record{}
	for _, rec := range s.events[:revision] {
		switch {
		case rec.Kind != kind:
		case rec.Deleted:
			delete(held, rec.Name)
		default:
			held[rec.Name] = rec
		}
	}
	return held
}

// write stores a value if the object is at the version that the caller names;
// version 0 stands for an object that does not exist. A nil value deletes.
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

// since returns the events after a revision, as they were known so many
// revisions ago, and a channel that closes at the next write.
func (s *store) since(kinds []string, after, staleBy uint64) (objects.RecordList, <-chan struct{}) {
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
