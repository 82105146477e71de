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

// Faults are the switches of the stand-in. They are set by PUT /v1/faults.
type Faults struct {
	// Outage answers 503 to every call but those to /v1/faults, and breaks
	// the watches that wait.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of coming writes that take effect while
	// their answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// HoldKind holds back the answers to writes of objects of this kind, after
	// the writes took effect, until the switch is taken back.
	HoldKind string `json:"hold_kind,omitempty"`
	// LateKind loses the answers to writes of objects of this kind; the
	// writes take effect when the switch is taken back.
	LateKind string `json:"late_kind,omitempty"`
	// DropWrites is the number of coming writes that have no effect and get
	// no answer.
	DropWrites int `json:"drop_writes"`
	// DelayMS delays every call by so many milliseconds.
	DelayMS int `json:"delay_ms"`
	// ReplayFrom makes watches start again at this revision once.
	ReplayFrom *uint64 `json:"replay_from,omitempty"`
	// StaleBy makes reads and watches show the store as it was so many
	// revisions ago.
	StaleBy uint64 `json:"stale_by"`
	// CompactedAt answers 410 to watches after a revision before it.
	CompactedAt uint64 `json:"compacted_at"`
	// RefuseWeights refuses calls of the weight store, whose rate is used up.
	RefuseWeights bool `json:"refuse_weights"`
	// RefuseHosts refuses host orders.
	RefuseHosts bool `json:"refuse_hosts"`
	// BlockZones cuts off callers that name one of these availability zones
	// in the header Jaylink-Availability-Zone, like an outage.
	BlockZones []string `json:"block_zones,omitempty"`
}

// blocks reports whether calls from a zone are cut off.
func (f *Faults) blocks(r *http.Request) bool {
	zone := r.Header.Get(hosting.HeaderZone)
	return f.Outage || (zone != "" && slices.Contains(f.BlockZones, zone))
}

// Server is the stand-in's HTTP handler.
type Server struct {
	store  *store
	router *mux.Router

	mu     sync.Mutex
	faults Faults
	// switched is closed when the faults change.
	switched chan struct{}
	held     int
	calls    map[string]int
	hosts    []hosting.Host
	notices  []hosting.Notice
	noticed  chan struct{}
	weights  map[string]int
}

// New returns an empty platform.
func New() *Server {
	s := &Server{
		store:    newStore(),
		router:   mux.NewRouter(),
		calls:    map[string]int{},
		noticed:  make(chan struct{}),
		switched: make(chan struct{}),
		weights:  map[string]int{},
	}
	v1 := s.router.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/objects/{kind}", s.counted("list", s.list)).Methods(http.MethodGet)
	v1.HandleFunc("/objects/{kind}/{name}", s.counted("get", s.get)).Methods(http.MethodGet)
	v1.HandleFunc("/objects/{kind}/{name}", s.counted("put", s.put)).Methods(http.MethodPut)
	v1.HandleFunc("/objects/{kind}/{name}", s.counted("delete", s.delete)).Methods(http.MethodDelete)
	v1.HandleFunc("/watch", s.counted("watch", s.watch)).Methods(http.MethodGet)
	v1.HandleFunc("/hosts", s.counted("hosts", s.listHosts)).Methods(http.MethodGet)
	v1.HandleFunc("/hosts", s.setHosts).Methods(http.MethodPut)
	v1.HandleFunc("/notices", s.counted("notices", s.listNotices)).Methods(http.MethodGet)
	v1.HandleFunc("/notices", s.addNotice).Methods(http.MethodPost)
	v1.HandleFunc("/host-orders", s.counted("host-orders", s.orderHost)).Methods(http.MethodPost)
	v1.HandleFunc("/weights/{name}", s.counted("weights", s.loadWeights)).Methods(http.MethodGet)
	v1.HandleFunc("/calls", s.listCalls).Methods(http.MethodGet)
	v1.HandleFunc("/held", s.listHeld).Methods(http.MethodGet)
	v1.HandleFunc("/faults", s.getFaults).Methods(http.MethodGet)
	v1.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// counted counts a call and applies the outage and delay faults.
func (s *Server) counted(op string, next http.HandlerFunc) http.HandlerFunc {
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
		if f.blocks(r) {
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
	version, ok := condition(r)
	if !ok {
		standin.WriteError(w, http.StatusBadRequest, "If-Match: VERSION or If-None-Match: * is needed")
		return
	}
	s.write(w, r, version, value)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, ok := condition(r)
	if !ok || version == 0 {
		standin.WriteError(w, http.StatusBadRequest, "If-Match: VERSION is needed")
		return
	}
	s.write(w, r, version, nil)
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, version uint64, value json.RawMessage) {
	if s.countDown(func(f *Faults) *int { return &f.DropWrites }) {
		panic(http.ErrAbortHandler)
	}
	v := mux.Vars(r)
	if s.loseLate(v["kind"]) {
		go func() {
			s.hold(context.Background(), func(f Faults) bool { return f.LateKind == v["kind"] })
			s.store.write(v["kind"], v["name"], version, value)
		}()
		panic(http.ErrAbortHandler)
	}
	rec, ok := s.store.write(v["kind"], v["name"], version, value)
	s.hold(r.Context(), func(f Faults) bool { return f.HoldKind == v["kind"] })
	if !ok {
		standin.WriteJSON(w, http.StatusPreconditionFailed, rec)
		return
	}
	if s.countDown(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, http.StatusOK, rec)
}

// loseLate reports whether a write of a kind is to take effect late.
func (s *Server) loseLate(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.LateKind == kind
}

// hold waits while the faults say so.
func (s *Server) hold(ctx context.Context, wanted func(Faults) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held++
	defer func() { s.held-- }()
	for wanted(s.faults) {
		switched := s.switched
		s.mu.Unlock()
		select {
		case <-switched:
		case <-ctx.Done():
		}
		s.mu.Lock()
		if ctx.Err() != nil {
			return
		}
	}
}

// listHeld answers with the number of calls that are held back.
func (s *Server) listHeld(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.held)
}

// countDown uses up one of a counted fault and reports whether there was one.
func (s *Server) countDown(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := field(&s.faults)
	if *left == 0 {
		return false
	}
	*left--
	return true
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// condition reads the version that a write must find; 0 means "must not exist".
func condition(r *http.Request) (uint64, bool) {
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
	after = s.replayFrom(after)
	s.await(w, r, func() (any, bool, <-chan struct{}) {
		list, changed := s.store.since(kinds, after, s.currentFaults().StaleBy)
		return list, len(list.Items) > 0, changed
	})
}

// await answers once there is something to tell or the wait is over. A fault
// that cuts the caller off breaks the connection meanwhile.
func (s *Server) await(w http.ResponseWriter, r *http.Request, look func() (any, bool, <-chan struct{})) {
	timeout := time.After(standin.Wait(r))
	over := false
	for {
		s.mu.Lock()
		blocked, switched := s.faults.blocks(r), s.switched
		s.mu.Unlock()
		if blocked {
			panic(http.ErrAbortHandler)
		}
		answer, ready, changed := look()
		if ready || over {
			standin.WriteJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-switched:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) replayFrom(after uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ReplayFrom == nil {
		return after
	}
	after = *s.faults.ReplayFrom
	s.faults.ReplayFrom = nil
	return after
}
