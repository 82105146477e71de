// Package service is the stand-in for a plain HTTP service that takes orders. Order
// lookups are idempotent; bookings and charges are not.
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

// Faults are injected faults. PUT /faults replaces all of them.
type Faults struct {
	// ResetBefore is the number of following calls whose connection is aborted
	// before they run.
	ResetBefore int `json:"reset_before"`
	// ResetAfter is the number of following calls whose connection is aborted
	// after they ran.
	ResetAfter int `json:"reset_after"`
	// CutAnswer is the number of following answers that are truncated in the body.
	CutAnswer int `json:"cut_answer"`
	// Refuse answers 503 to every call without running it; FailRun answers 500
	// after running it.
	Refuse  bool `json:"refuse"`
	FailRun bool `json:"fail_run"`
	// HoldBefore blocks calls before they run, and HoldAfter after they ran, until
	// the fault is cleared.
	HoldBefore bool `json:"hold_before"`
	HoldAfter  bool `json:"hold_after"`
	// DelayMS delays each answer by this many milliseconds.
	DelayMS int `json:"delay_ms"`
	// FailStatus is the number of following calls that get status 500 without
	// running.
	FailStatus int `json:"fail_status"`
	// Leaving is reported in /load.
	Leaving bool `json:"leaving"`
}

// Run describes one execution of a call.
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

// Server is the HTTP handler of the service.
type Server struct {
	router *mux.Router

	mu     sync.Mutex
	faults Faults
	// faultsChanged is closed when the faults are replaced.
	faultsChanged chan struct{}
	running       int
	runs          []Run
}

// New returns a service.
func New() *Server {
	s := &Server{router: mux.NewRouter(), runs: []Run{}, faultsChanged: make(chan struct{})}
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
	s.incrementRunning()
	defer s.decrementRunning()
	f := s.consumeFaults()
	if f.ResetBefore > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.Refuse {
		standin.WriteError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	s.waitWhile(r, func(f Faults) bool { return f.HoldBefore })
	if f.FailStatus > 0 {
		standin.WriteError(w, http.StatusInternalServerError, "failed before running")
		return
	}
	number := s.recordRun(r, body)
	time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
	s.waitWhile(r, func(f Faults) bool { return f.HoldAfter })
	if f.ResetAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	if f.CutAnswer > 0 {
		s.sendTruncatedAnswer(w)
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

// sendTruncatedAnswer sends a part of an answer with status 201 and aborts the
// connection.
func (s *Server) sendTruncatedAnswer(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	w.WriteHeader(http.StatusCreated)
	_, _ = io.WriteString(w, `{"number":`)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// waitWhile blocks while held returns true for the current faults. If the caller
// closes its connection, waitWhile returns and the call continues.
func (s *Server) waitWhile(r *http.Request, held func(Faults) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for held(s.faults) {
		changed := s.faultsChanged
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}

// consumeFaults returns the current faults and decrements the first counter among
// them that is not zero.
func (s *Server) consumeFaults() Faults {
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

func (s *Server) recordRun(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		Method:    r.Method,
		Path:      r.URL.Path,
		RequestID: r.Header.Get(upstream.HeaderRequestID),
		Key:       r.Header.Get(upstream.HeaderIdempotencyKey),
		Body:      string(body),
	})
	return len(s.runs)
}

func (s *Server) incrementRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *Server) decrementRunning() {
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
	standin.HandlePut(w, r, func(f Faults) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faults = f
		close(s.faultsChanged)
		s.faultsChanged = make(chan struct{})
	})
}
