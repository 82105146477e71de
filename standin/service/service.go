// Package service is the stand-in for a plain service: an order desk with
// lookups that may be repeated, and bookings and charges that may not.
package service

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"jaylink/standin"
	"jaylink/upstream"
)

// Faults are the switches of the stand-in. They are set by PUT /faults.
type Faults struct {
	// ResetBefore cuts so many coming connections before the call is run.
	ResetBefore int `json:"reset_before"`
	// ResetAfter cuts so many coming connections after the call was run.
	ResetAfter int `json:"reset_after"`
	// CutAnswer cuts so many coming answers in their body.
	CutAnswer int `json:"cut_answer"`
	// Refuse answers 503 unrun to every call, and FailRun 500 after running.
	Refuse  bool `json:"refuse"`
	FailRun bool `json:"fail_run"`
	// HoldBefore keeps calls waiting before they are run, and HoldAfter
	// after that, until the switch is taken back.
	HoldBefore bool `json:"hold_before"`
	HoldAfter  bool `json:"hold_after"`
	// DelayMS delays each answer by so many milliseconds.
	DelayMS int `json:"delay_ms"`
	// FailStatus answers so many coming calls with status 500 unrun.
	FailStatus int `json:"fail_status"`
	// Leaving is reported in /load.
	Leaving bool `json:"leaving"`
}

// Run is one execution, as the stand-in saw it.
type Run struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Body      string `json:"body"`
}

// Result is the answer to a call.
type Result struct {
	Number int    `json:"number,omitempty"`
	ID     string `json:"id,omitempty"`
	Status string `json:"status"`
}

// Server is the stand-in's HTTP handler.
type Server struct {
	router *mux.Router

	mu     sync.Mutex
	faults Faults
	// switched closes when the faults are set again.
	switched chan struct{}
	running  int
	runs     []Run
}

// New returns a service.
func New() *Server {
	s := &Server{router: mux.NewRouter(), runs: []Run{}, switched: make(chan struct{})}
	s.router.HandleFunc("/load", s.load).Methods(http.MethodGet)
	s.router.HandleFunc("/runs", s.listRuns).Methods(http.MethodGet)
	s.router.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	s.router.HandleFunc("/orders/{id}", s.run).Methods(http.MethodGet)
	s.router.HandleFunc("/bookings", s.run).Methods(http.MethodPost)
	s.router.HandleFunc("/charges", s.run).Methods(http.MethodPost)
	s.router.HandleFunc("/card-orders", s.run).Methods(http.MethodPost)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.begin()
	defer s.end()
	f := s.takeFaults()
	if f.ResetBefore > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		standin.WriteError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.hold(r, func(f Faults) bool { return f.HoldBefore })
	if f.FailStatus > 0 {
		standin.WriteError(w, http.StatusInternalServerError, "failed before running")
		return
	}
	number := s.record(r, body)
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	s.hold(r, func(f Faults) bool { return f.HoldAfter })
	if f.ResetAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.CutAnswer > 0 {
		s.cutAnswer(w)
	}
	if f.FailRun {
		standin.WriteError(w, http.StatusInternalServerError, "failed after running")
		return
	}
	if r.Method == http.MethodGet {
		standin.WriteJSON(w, http.StatusOK, Result{ID: mux.Vars(r)["id"], Status: "in progress"})
		return
	}
	w.Header().Set("Location", fmt.Sprintf("%s/%d", r.URL.Path, number))
	standin.WriteJSON(w, http.StatusCreated, Result{Number: number, Status: "booked"})
}

// cutAnswer sends a part of a created answer and cuts the connection.
func (s *Server) cutAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, `{"number":`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// hold waits while the faults say so. A call whose caller went away goes on.
func (s *Server) hold(r *http.Request, wanted func(Faults) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for wanted(s.faults) {
		switched := s.switched
		s.mu.Unlock()
		select {
		case <-switched:
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}

// takeFaults returns the switches and counts down those that are counts.
func (s *Server) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	for _, n := range []*int{&s.faults.ResetBefore, &s.faults.FailStatus, &s.faults.ResetAfter, &s.faults.CutAnswer} {
		if *n > 0 {
			*n--
			break
		}
	}
	return f
}

func (s *Server) record(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		Method:    r.Method,
		Path:      r.URL.Path,
		RequestID: r.Header.Get(upstream.HeaderRequestID),
		Key:       r.Header.Get(upstream.HeaderKey),
		Body:      string(body),
	})
	return len(s.runs)
}

func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, upstream.LoadReport{Running: s.running, Leaving: s.faults.Leaving})
}

func (s *Server) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.runs)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	standin.Set(w, r, func(f Faults) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = f
		close(s.switched)
		s.switched = make(chan struct{})
	})
}
