// Package metastore is a stand-in for the hosting platform's metadata store and
// cloud API, with fault injection. It keeps objects in memory.
package metastore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"jaylink/standin"
)

// Faults are injected faults. The zero value injects none.
type Faults struct {
	// Down answers every call with 503.
	Down bool
	// SilentWatches leaves watches unanswered until the caller closes them.
	SilentWatches bool
	// LoseWrites applies writes but closes the connection without an answer.
	LoseWrites bool
}

// Object is a stored object.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// Metadata has an object's name and the revision of its last change.
type Metadata struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

type change struct {
	kind    string
	object  Object
	deleted bool
}

// DutyCall is one accepted call to the cloud API, which only the holder of a duty
// may make.
type DutyCall struct {
	Path   string
	Holder string
	Token  uint64
	Body   string
}

// Server is the HTTP handler of the metadata store and the cloud API.
type Server struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]Object
	history []change
	// era counts how often the data was replaced by an older copy.
	era atomic.Uint64
	// compacted is the revision up to which history was dropped.
	compacted     uint64
	changed       chan struct{}
	faults        Faults
	duties        []DutyCall
	highestTokens map[string]uint64
	mux           *http.ServeMux
}

// New returns an empty store.
func New() *Server {
	s := &Server{rev: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{}), highestTokens: map[string]uint64{}}
	s.era.Store(firstEra)
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.list)
	s.mux.HandleFunc("POST /v1/objects/{kind}", s.create)
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.get)
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.replace)
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}/status", s.replaceStatus)
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.delete)
	s.mux.HandleFunc("POST /usage", s.recordDuty)
	s.mux.HandleFunc("POST /scale", s.recordDuty)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.faults.Down
	s.mu.Unlock()
	w = eraWriter{w, s}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Put writes an object, as the operator or an upstream does.
func (s *Server) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
}

// PutRaw writes an object whose content need not be valid.
func (s *Server) PutRaw(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, json.RawMessage(spec))
}

// Delete removes an object.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deleteLocked(kind, name)
}

// Compact drops the history. Watches that follow from an earlier revision end with
// status 410.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.rev, nil
	s.notifyWatches()
}

// Spec returns an object's content, or nil.
func (s *Server) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// Duties returns the accepted calls of the cloud API.
func (s *Server) Duties() []DutyCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.duties)
}

func (s *Server) putLocked(kind, name string, spec json.RawMessage) Object {
	return s.putObjectLocked(kind, Object{Metadata{Name: name}, spec, s.objects[kind][name].Status})
}

// putObjectLocked writes an object with the next revision.
func (s *Server) putObjectLocked(kind string, o Object) Object {
	s.rev++
	name := o.Metadata.Name
	o.Metadata.Rev = s.rev
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][name] = o
	s.recordChange(change{kind, o, false})
	return o
}

func (s *Server) deleteLocked(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	s.rev++
	delete(s.objects[kind], name)
	o.Metadata.Rev = s.rev
	s.recordChange(change{kind, o, true})
	return true
}

func (s *Server) recordChange(c change) {
	s.history = append(s.history, c)
	s.notifyWatches()
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	entries := []Object{}
	for _, o := range s.objects[kind] {
		if o.Metadata.Name > r.URL.Query().Get("after") {
			entries = append(entries, o)
		}
	}
	at := s.rev
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b Object) int {
		if a.Metadata.Name < b.Metadata.Name {
			return -1
		}
		return 1
	})
	more := len(entries) > pageSize
	if more {
		entries = entries[:pageSize]
	}
	standin.WriteJSON(w, http.StatusOK, map[string]any{"entries": entries, "has-more": more, "at": at})
}

// pageSize is small, so that clients have to request further pages.
const pageSize = 3

func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, at, gone, silent, changed := s.eventsAfter(kind, after)
		switch {
		case silent:
			<-r.Context().Done()
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-timer.C:
			standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *Server) eventsAfter(kind string, after uint64) (events []map[string]any, at uint64, gone, silent bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []map[string]any{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Rev > after {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events, s.rev, after < s.compacted || after > s.rev, s.faults.SilentWatches, s.changed
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		standin.WriteJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	standin.WriteJSON(w, http.StatusOK, o)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(o Object) (Object, int) {
		kind := r.PathValue("kind")
		if current, ok := s.objects[kind][o.Metadata.Name]; ok {
			return current, http.StatusConflict
		}
		return s.putLocked(kind, o.Metadata.Name, o.Spec), http.StatusOK
	})
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(current *Object, o Object) bool {
		same := string(o.Spec) == string(current.Spec)
		current.Spec = o.Spec
		return !same
	})
}

// replaceStatus writes the status of an object and leaves its spec as it is.
func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.update(w, r, func(current *Object, o Object) bool {
		same := string(o.Status) == string(current.Status)
		current.Status = o.Status
		return !same
	})
}

// update changes an existing object, unless it has another revision than the caller states. The
// function change reports whether it has changed anything.
func (s *Server) update(w http.ResponseWriter, r *http.Request, change func(current *Object, o Object) bool) {
	s.write(w, r, func(o Object) (Object, int) {
		kind, name := r.PathValue("kind"), r.PathValue("name")
		current, ok := s.objects[kind][name]
		switch {
		case !ok:
			return current, http.StatusNotFound
		case o.Metadata.Rev != 0 && o.Metadata.Rev != current.Metadata.Rev:
			return current, http.StatusConflict
		case !change(&current, o):
			return current, http.StatusOK
		}
		return s.putObjectLocked(kind, current), http.StatusOK
	})
}

// Status returns an object's status, or nil.
func (s *Server) Status(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Status
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, apply func(Object) (Object, int)) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		standin.WriteJSON(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	out, status := apply(o)
	lose := s.faults.LoseWrites
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, status, out)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	kind, name, rev := r.PathValue("kind"), r.PathValue("name"), r.URL.Query().Get("rev")
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind][name]
	switch {
	case !found:
		standin.WriteJSON(w, http.StatusNotFound, struct{}{})
	case rev != "" && rev != strconv.FormatUint(current.Metadata.Rev, 10):
		standin.WriteJSON(w, http.StatusConflict, current)
	default:
		s.deleteLocked(kind, name)
		standin.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

// recordDuty accepts a call that only the holder of a duty may make. It refuses the
// call if the same path was called with a higher fencing token before.
func (s *Server) recordDuty(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	var body json.RawMessage
	if decodeErr := json.NewDecoder(r.Body).Decode(&body); err != nil || decodeErr != nil {
		standin.WriteJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.highestTokens[r.URL.Path] {
		standin.WriteJSON(w, http.StatusConflict, struct{}{})
		return
	}
	s.highestTokens[r.URL.Path] = token
	s.duties = append(s.duties, DutyCall{r.URL.Path, r.Header.Get("Duty-Holder"), token, string(body)})
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}
