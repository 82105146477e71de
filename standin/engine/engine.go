// Package engine is the stand-in for a model engine. It implements the common
// completions API, runs a bounded number of requests concurrently, reports its
// load with a delay and keeps a bounded cache of prompt prefixes.
//
// Each token is a function of the prompt and the answer so far, so an answer that
// is resumed on another engine is byte for byte the same as one from one engine.
package engine

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"jaylink/standin"
	"jaylink/upstream"
)

// Options configure one engine.
type Options struct {
	Name string
	// Slots is the number of requests that run concurrently.
	Slots int
	// QueueLength is the number of requests that may wait for a slot; further
	// ones get status 429.
	QueueLength int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// BatchInterval is added to the time between tokens for each other running
	// request.
	BatchInterval time.Duration
	// PrefillPerToken is the time to process one prompt token that is not cached.
	PrefillPerToken time.Duration
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with an outdated fencing token.
	ChecksFencing bool
	// PrefixTokens is the size of the prefix cache in tokens.
	PrefixTokens int
	// ExitOn ends the process when a prompt contains this text; "" disables it.
	ExitOn string
	// KVPerToken is the time to import the KV cache of one token.
	KVPerToken time.Duration
}

// crashExitStatus is the exit status of a process that Options.ExitOn ended.
const crashExitStatus = 3

// Faults are injected faults. PUT /faults replaces all of them.
type Faults struct {
	// BreakAfter aborts each stream after this many tokens; 0 disables it.
	BreakAfter int `json:"break_after"`
	// SlowMS is the minimum time between tokens in milliseconds; 0 means none.
	SlowMS int `json:"slow_ms"`
	// Leaving is reported in /load.
	Leaving bool `json:"leaving"`
	// Refuse rejects every completion as if the queue were full.
	Refuse bool `json:"refuse"`
	// CrashOn aborts the connection of each request whose prompt contains this
	// text; "" disables it.
	CrashOn string `json:"crash_on"`
	// RefuseKV refuses to export and import KV caches.
	RefuseKV bool `json:"refuse_kv"`
	// Corrupt is applied to every stream; "" means none.
	Corrupt Corruption `json:"corrupt"`
}

// Run describes one execution of a request.
type Run struct {
	RequestID string `json:"request_id"`
	Prompt    int    `json:"prompt_tokens"`
	Cached    int    `json:"cached_tokens"`
	Generated int    `json:"generated_tokens"`
	Whole     bool   `json:"whole"`
	// Busy is how long the run occupied a slot.
	Busy time.Duration `json:"busy_ns"`
	// At is when the run started.
	At time.Time `json:"at"`
}

// Request returns the request ID without the suffix of the attempt.
func (r *Run) Request() string {
	id, _, _ := strings.Cut(r.RequestID, "/")
	return id
}

// Server is the HTTP handler of a model engine.
type Server struct {
	opts      Options
	startedAt time.Time
	router    *mux.Router
	slots     chan struct{}

	mu          sync.Mutex
	faults      Faults
	running     int
	queued      int
	loadSamples []loadSample
	runs        []*Run
	orders      orders
	cache       prefixCache
	// textByRun has the prompt and the answer so far of each running request, by
	// request ID with attempt.
	textByRun map[string]string
}

type loadSample struct {
	at     time.Time
	report upstream.LoadReport
}

// New returns an engine.
func New(opts Options) *Server {
	s := &Server{
		opts:      opts,
		startedAt: time.Now(),
		router:    mux.NewRouter(),
		slots:     make(chan struct{}, opts.Slots),
		cache:     prefixCache{limit: opts.PrefixTokens},
		textByRun: map[string]string{},
	}
	s.router.HandleFunc("/v1/completions", s.complete).Methods(http.MethodPost)
	s.router.HandleFunc("/load", s.load).Methods(http.MethodGet)
	s.router.HandleFunc("/state", s.getState).Methods(http.MethodGet)
	s.router.HandleFunc("/state", s.applyOrder).Methods(http.MethodPost)
	s.router.HandleFunc("/orders", s.listOrders).Methods(http.MethodGet)
	s.router.HandleFunc("/runs", s.listRuns).Methods(http.MethodGet)
	s.router.HandleFunc("/kv", s.exportKV).Methods(http.MethodGet)
	s.router.HandleFunc("/kv", s.importKV).Methods(http.MethodPost)
	s.router.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// vocabulary has the tokens of all answers.
var vocabulary = strings.Fields("શ્રદ્ધાંજલિ સ્મૃતિ પ્રણામ દીપ પુષ્પ આત્મા શાંતિ પરિવાર પ્રેમ યાદ સંધ્યા પ્રાર્થના માતા પિતા આશીર્વાદ જીવન કવિતા ગીત નદી આકાશ")

// nextToken returns the token that follows a text, which it alone determines.
func nextToken(text string) string {
	return vocabulary[xxhash.Sum64String(text)%uint64(len(vocabulary))] + " "
}

// Text returns the complete answer that every engine gives to a prompt.
func Text(prompt string, tokens int) string {
	var b strings.Builder
	text := prompt
	for range tokens {
		t := nextToken(text)
		text += t
		b.WriteString(t)
	}
	return b.String()
}

// CountTokens returns the number of tokens in a text; each word is a token.
func CountTokens(text string) int { return len(strings.Fields(text)) }

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var c upstream.Completion
	if !standin.ReadJSON(w, r, &c) {
		return
	}
	if !s.acquireSlot(r) {
		standin.WriteError(w, http.StatusTooManyRequests, "engine is full")
		return
	}
	defer s.releaseSlot()
	if s.opts.ExitOn != "" && strings.Contains(c.Prompt, s.opts.ExitOn) {
		os.Exit(crashExitStatus)
	}
	f := s.currentFaults()
	if f.CrashOn != "" && strings.Contains(c.Prompt, f.CrashOn) {
		panic(http.ErrAbortHandler)
	}
	start := time.Now()
	run := s.prefill(r, c)
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.Busy = time.Since(start)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(upstream.HeaderRequestID, run.RequestID)
	if f.Corrupt == CorruptForeignEcho {
		w.Header().Set(upstream.HeaderRequestID, foreignRequestID)
	}
	s.generate(w, r, c, run, f.Corrupt)
}

// acquireSlot waits for a slot. It returns false if the queue is full or the
// request is canceled.
func (s *Server) acquireSlot(r *http.Request) bool {
	s.mu.Lock()
	if s.faults.Refuse || s.queued >= s.opts.QueueLength {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.recordLoad()
	s.mu.Unlock()
	ok := true
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		ok = false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued--
	if ok {
		s.running++
	}
	s.recordLoad()
	return ok
}

func (s *Server) releaseSlot() {
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.recordLoad()
}

// prefill simulates the processing of the part of the prompt that is not cached.
func (s *Server) prefill(r *http.Request, c upstream.Completion) *Run {
	s.mu.Lock()
	run := &Run{RequestID: r.Header.Get(upstream.HeaderRequestID), Prompt: CountTokens(c.Prompt), At: time.Now()}
	run.Cached = s.cache.lookup(c.Prompt)
	s.cache.add(c.Prompt)
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	sleep(r, time.Duration(run.Prompt-run.Cached)*s.opts.PrefillPerToken)
	return run
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, c upstream.Completion, run *Run, fault Corruption) {
	text := c.Prompt
	s.setRunText(run, text)
	defer func() { s.cacheFinishedRun(run, text) }()
	for i := range c.MaxTokens {
		if !sleep(r, s.tokenInterval()) {
			return
		}
		token := nextToken(text)
		text += token
		s.setRunText(run, text)
		chunk := upstream.Chunk{ID: run.RequestID, Object: "text_completion", Model: c.Model, Choices: []upstream.Choice{{Text: token}}}
		if i == c.MaxTokens-1 {
			chunk.Choices[0].FinishReason = "length"
		}
		writeEvent(w, chunk)
		s.mu.Lock()
		run.Generated++
		breakNow := s.faults.BreakAfter > 0 && run.Generated >= s.faults.BreakAfter
		s.mu.Unlock()
		if breakNow {
			panic(http.ErrAbortHandler)
		}
		if corrupt(w, fault, i+1, c.MaxTokens) {
			return
		}
	}
	_, _ = w.Write([]byte("data: " + upstream.StreamEnd + "\n\n"))
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Whole = true
}

// tokenInterval returns the time between tokens at the current batch size.
func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.opts.TokenInterval + time.Duration(s.running-1)*s.opts.BatchInterval
	return max(batch, time.Duration(s.faults.SlowMS)*time.Millisecond)
}

func writeEvent(w http.ResponseWriter, chunk upstream.Chunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	// If the write fails, the request's context is canceled.
	_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
	_ = http.NewResponseController(w).Flush()
}

// sleep waits for d. It returns false if the request is canceled first.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
