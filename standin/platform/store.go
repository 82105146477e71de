// Package platform is the stand-in for the hosting platform: the Object API,
// the host list, reclaim notices, host orders and the weight store, with
// switches for the faults that the real ones have.
package platform

import (
	"encoding/json"
	"slices"
	"sync"

	"jaylink/platform"
)

// store holds the objects and their history. Every write adds one event.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]platform.Record
	events   []platform.Record
	changed  chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]map[string]platform.Record{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (platform.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.objects[kind][name]
	return rec, ok
}

func (s *store) list(kind string) platform.RecordList {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.RecordList{Revision: s.revision, Items: []platform.Record{}}
	for _, rec := range s.objects[kind] {
		list.Items = append(list.Items, rec)
	}
	slices.SortFunc(list.Items, func(a, b platform.Record) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// write stores a value if the object is at the version that the caller names;
// version 0 stands for an object that does not exist. A nil value deletes.
func (s *store) write(kind, name string, version uint64, value json.RawMessage) (platform.Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	if current.Version != version {
		if current.Version == 0 {
			current = platform.Record{Kind: kind, Name: name}
		}
		return current, false
	}
	s.revision++
	rec := platform.Record{Kind: kind, Name: name, Version: s.revision, Value: value, Deleted: value == nil}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]platform.Record{}
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

// since returns the events after a revision and a channel that closes at the
// next write.
func (s *store) since(kinds []string, after uint64) (platform.RecordList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.RecordList{Revision: s.revision, Items: []platform.Record{}}
	start, _ := slices.BinarySearchFunc(s.events, after+1, func(rec platform.Record, v uint64) int {
		return int(int64(rec.Version) - int64(v))
	})
	for _, rec := range s.events[start:] {
		if slices.Contains(kinds, rec.Kind) {
			list.Items = append(list.Items, rec)
		}
	}
	return list, s.changed
}
