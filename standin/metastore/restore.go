package metastore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// firstEra is the era of a store that has never been restored.
const firstEra = 1

// Copy is a copy of the store's data.
type Copy struct {
	rev, compacted uint64
	objects        map[string]map[string]Object
	history        []change
}

// Copy returns a copy of the data as it is now.
func (s *Server) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.rev, s.compacted, cloneObjects(s.objects), slices.Clone(s.history)}
}

// Restore replaces the data by an earlier copy and begins a new era: the changes since then
// are lost, and their revisions are given out again.
func (s *Server) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era.Add(1)
	s.rev, s.compacted = c.rev, c.compacted
	s.objects, s.history = cloneObjects(c.objects), slices.Clone(c.history)
	s.notifyWatches()
}

func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	out := map[string]map[string]Object{}
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

// eraWriter adds the era of the moment at which an answer begins, because a watch may wait
// across a restore.
type eraWriter struct {
	http.ResponseWriter
	store *Server
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	w.Header().Set("Store-Era", strconv.FormatUint(w.store.era.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}
