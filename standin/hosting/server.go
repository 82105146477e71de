package hosting

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"jaylink/hosting"
	"jaylink/standin"
)

// Faults are injected faults. PUT /v1/faults replaces all of them.
type Faults struct {
	// Outage answers 503 to the calls of the platform's own API and aborts
	// pending watches. Calls that control the stand-in, such as /v1/faults, still
	// work.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of following writes that take effect but whose
	// connection is closed without an answer.
	LoseAnswers int `json:"lose_answers"`
	// HoldKind delays the answers to writes of objects of this kind, after the
	// writes took effect, until the fault is cleared.
	HoldKind string `json:"hold_kind,omitempty"`
	// LateKind closes the connection of writes of objects of this kind without an
	// answer; the writes take effect when the fault is cleared.
	LateKind string `json:"late_kind,omitempty"`
	// DropWrites is the number of following writes that have no effect and get no
	// answer.
	DropWrites int `json:"drop_writes"`
	// DelayMS delays every call by this many milliseconds.
	DelayMS int `json:"delay_ms"`
	// ReplayFrom makes the next watch start at this revision instead of the one
	// that it asks for.
	ReplayFrom *uint64 `json:"replay_from,omitempty"`
	// StaleBy makes reads and watches return the state of this many revisions ago.
	StaleBy uint64 `json:"stale_by"`
	// CompactedAt answers 410 to watches that start before this revision.
	CompactedAt uint64 `json:"compacted_at"`
	// RefuseWeights answers 429 to calls of the weight store, as if its rate limit
	// were exceeded.
	RefuseWeights bool `json:"refuse_weights"`
	// RefuseHosts answers 429 to host orders, as if there were no capacity.
	RefuseHosts bool `json:"refuse_hosts"`
	// BlockZones fails the calls of callers that name one of these availability
	// zones in the header Jaylink-Availability-Zone, as Outage does for all.
	BlockZones []string `json:"block_zones,omitempty"`
}

// cutsOff reports whether Outage or BlockZones applies to a call.
func (f *Faults) cutsOff(r *http.Request) bool {
	zone := r.Header.Get(hosting.HeaderZone)
	return f.Outage || (zone != "" && slices.Contains(f.BlockZones, zone))
}

// Server is the HTTP handler of the hosting platform.
type Server struct {
	store  *store
	router *mux.Router

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed when the faults change.
	faultsChanged chan struct{}
	heldCalls     int
	calls         map[string]int
	hosts         []hosting.Host
	notices       []hosting.Notice
	noticeAdded   chan struct{}
	weights       map[string]int
}

// New returns an empty platform.
func New() *Server {
	s := &Server{
		store:         newStore(),
		router:        mux.NewRouter(),
		calls:         map[string]int{},
		noticeAdded:   make(chan struct{}),
		faultsChanged: make(chan struct{}),
		weights:       map[string]int{},
	}
	v1 := s.router.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/objects/{kind}", s.withFaults("list", s.list)).Methods(http.MethodGet)
	v1.HandleFunc("/objects/{kind}/{name}", s.withFaults("get", s.get)).Methods(http.MethodGet)
	v1.HandleFunc("/objects/{kind}/{name}", s.withFaults("put", s.put)).Methods(http.MethodPut)
	v1.HandleFunc("/objects/{kind}/{name}", s.withFaults("delete", s.delete)).Methods(http.MethodDelete)
	v1.HandleFunc("/watch", s.withFaults("watch", s.watch)).Methods(http.MethodGet)
	v1.HandleFunc("/hosts", s.withFaults("hosts", s.listHosts)).Methods(http.MethodGet)
	v1.HandleFunc("/hosts", s.setHosts).Methods(http.MethodPut)
	v1.HandleFunc("/notices", s.withFaults("notices", s.listNotices)).Methods(http.MethodGet)
	v1.HandleFunc("/notices", s.addNotice).Methods(http.MethodPost)
	v1.HandleFunc("/host-orders", s.withFaults("host-orders", s.orderHost)).Methods(http.MethodPost)
	v1.HandleFunc("/weights/{name}", s.withFaults("weights", s.loadWeights)).Methods(http.MethodGet)
	v1.HandleFunc("/calls", s.listCalls).Methods(http.MethodGet)
	v1.HandleFunc("/held", s.listHeld).Methods(http.MethodGet)
	v1.HandleFunc("/faults", s.getFaults).Methods(http.MethodGet)
	v1.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// withFaults wraps a handler: it counts the call and applies the faults DelayMS,
// Outage and BlockZones.
func (s *Server) withFaults(op string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		label := op
		if kind := mux.Vars(r)["kind"]; kind != "" {
			label += " " + kind
		}
		s.calls[label]++
		f := s.faults
		s.mu.Unlock()
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		if f.cutsOff(r) {
			standin.WriteError(w, http.StatusServiceUnavailable, "outage")
			return
		}
		next(w, r)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.store.list(mux.Vars(r)["kind"], s.currentFaults().StaleBy))
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	rec, ok := s.store.get(v["kind"], v["name"], s.currentFaults().StaleBy)
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "no such object")
		return
	}
	standin.WriteJSON(w, http.StatusOK, rec)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var value json.RawMessage
	if !standin.ReadJSON(w, r, &value) {
		return
	}
	version, ok := versionPrecondition(r)
	if !ok {
		standin.WriteError(w, http.StatusBadRequest, "If-Match: VERSION or If-None-Match: * is needed")
		return
	}
	s.write(w, r, version, value)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := versionPrecondition(r)
	if !ok || version == 0 {
		standin.WriteError(w, http.StatusBadRequest, "If-Match: VERSION is needed")
		return
	}
	s.write(w, r, version, nil)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, version uint64, value json.RawMessage) {
	if s.consumeFault(func(f *Faults) *int { return &f.DropWrites }) {
		panic(http.ErrAbortHandler)
	}
	v := mux.Vars(r)
	if s.delaysWrite(v["kind"]) {
		go func() {
			s.waitWhile(context.Background(), func(f Faults) bool { return f.LateKind == v["kind"] })
			s.store.write(v["kind"], v["name"], version, value)
		}()
		panic(http.ErrAbortHandler)
	}
	rec, ok := s.store.write(v["kind"], v["name"], version, value)
	s.waitWhile(r.Context(), func(f Faults) bool { return f.HoldKind == v["kind"] })
	if !ok {
		standin.WriteJSON(w, http.StatusPreconditionFailed, rec)
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, http.StatusOK, rec)
}

// delaysWrite reports whether LateKind applies to a write of a kind.
func (s *Server) delaysWrite(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LateKind == kind
}

// waitWhile blocks while held returns true for the current faults, or until the
// context is done.
func (s *Server) waitWhile(ctx context.Context, held func(Faults) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldCalls++
	defer func() { s.heldCalls-- }()
	for held(s.faults) {
		changed := s.faultsChanged
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return
		}
	}
}

// listHeld sends the number of calls that are blocked in waitWhile.
func (s *Server) listHeld(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.heldCalls)
}

// consumeFault decrements the counter of a fault. It returns false if the counter
// is zero.
func (s *Server) consumeFault(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := field(&s.faults)
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// versionPrecondition returns the version that a write requires; 0 means that the
// object must not exist.
func versionPrecondition(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return version, err == nil && version > 0
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "after: want a revision")
		return
	}
	kinds := r.URL.Query()["kind"]
	if after < s.currentFaults().CompactedAt {
		standin.WriteError(w, http.StatusGone, "the changes after this revision are compacted")
		return
	}
	after = s.takeReplayRevision(after)
	s.longPoll(w, r, func() (any, bool, <-chan struct{}) {
		list, changed := s.store.eventsAfter(kinds, after, s.currentFaults().StaleBy)
		return list, len(list.Items) > 0, changed
	})
}

// longPoll answers as soon as poll has a result or the caller's wait has passed. It
// aborts the connection if a fault cuts off the caller meanwhile.
func (s *Server) longPoll(w http.ResponseWriter, r *http.Request, poll func() (any, bool, <-chan struct{})) {
	timeout := time.After(standin.WaitParam(r))
	timedOut := false
	for {
		s.mu.Lock()
		cutOff, faultsChanged := s.faults.cutsOff(r), s.faultsChanged
		s.mu.Unlock()
		if cutOff {
			panic(http.ErrAbortHandler)
		}
		answer, ready, changed := poll()
		if ready || timedOut {
			standin.WriteJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) takeReplayRevision(after uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ReplayFrom == nil {
		return after
	}
	after = *s.faults.ReplayFrom
	s.faults.ReplayFrom = nil
	return after
}
