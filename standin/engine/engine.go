// Package engine is the stand-in for a model engine. It speaks the usual
// completions form, runs a bounded number of requests at once, reports load
// with a lag and keeps a bounded cache of prompt prefixes.
//
// Its text is a function of the prompt and the answer so far, so an answer that
// is continued on another engine is the same, byte for byte, as one that is not.
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

// Options describe one engine.
type Options struct {
	Name string
	// Slots is the number of requests that run at once.
	Slots int
	// QueueLength is the number of requests that wait; more get 429.
	QueueLength int
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// BatchInterval is what each other running request adds to the time
	// between tokens.
	BatchInterval time.Duration
	// PrefillPerToken is the time to read one prompt token.
	PrefillPerToken time.Duration
	// LoadLag is how old the reported load is.
	LoadLag time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// PrefixTokens is the size of the prefix cache.
	PrefixTokens int
	// ExitOn ends the process when a prompt contains it; "" means never.
	ExitOn string
	// KVPerToken is the time to import the KV cache of one token.
	KVPerToken time.Duration
}

// exitCrash is the exit status of an engine that crashed on a prompt.
const exitCrash = 3

// Faults are the switches of the stand-in. They are set by PUT /faults.
type Faults struct {
	// BreakAfter cuts each stream after so many tokens; 0 means never.
	BreakAfter int `json:"break_after"`
	// SlowMS is the least time between tokens in milliseconds; 0 is no bound.
	SlowMS int `json:"slow_ms"`
	// Leaving is reported in /load.
	Leaving bool `json:"leaving"`
	// Refuse answers 503 to every completion.
	Refuse bool `json:"refuse"`
	// CrashOn cuts the connection of each request whose prompt contains it.
	CrashOn string `json:"crash_on"`
	// RefuseKV refuses to export and import KV cache.
	RefuseKV bool `json:"refuse_kv"`
	// Corrupt spoils every stream in one way; "" spoils none.
	Corrupt Corruption `json:"corrupt"`
}

// Run is one execution, as the stand-in saw it.
type Run struct {
	RequestID string `json:"request_id"`
	Prompt    int    `json:"prompt_tokens"`
	Cached    int    `json:"cached_tokens"`
	Generated int    `json:"generated_tokens"`
	Whole     bool   `json:"whole"`
	// Busy is the time for which the run held a slot.
	Busy time.Duration `json:"busy_ns"`
	// At is when the request began to run.
	At time.Time `json:"at"`
}

// Request returns the request's ID without the attempt.
func (r *Run) Request() string {
	id, _, _ := strings.Cut(r.RequestID, "/")
	return id
}

// Server is the stand-in's HTTP handler.
type Server struct {
	opts   Options
	began  time.Time
	router *mux.Router
	slots  chan struct{}

	mu      sync.Mutex
	faults  Faults
	running int
	queued  int
	history []sample
	runs    []*Run
	orders  orders
	cache   prefixCache
	// live has the text so far of each request that runs, by its tag.
	live map[string]string
}

type sample struct {
	at     time.Time
	report upstream.LoadReport
}

// New returns an engine.
func New(opts Options) *Server {
	s := &Server{
		opts:   opts,
		began:  time.Now(),
		router: mux.NewRouter(),
		slots:  make(chan struct{}, opts.Slots),
		cache:  prefixCache{limit: opts.PrefixTokens},
		live:   map[string]string{},
	}
	s.router.HandleFunc("/v1/completions", s.complete).Methods(http.MethodPost)
	s.router.HandleFunc("/load", s.load).Methods(http.MethodGet)
	s.router.HandleFunc("/state", s.getState).Methods(http.MethodGet)
	s.router.HandleFunc("/state", s.takeOrder).Methods(http.MethodPost)
	s.router.HandleFunc("/orders", s.listOrders).Methods(http.MethodGet)
	s.router.HandleFunc("/runs", s.listRuns).Methods(http.MethodGet)
	s.router.HandleFunc("/kv", s.exportKV).Methods(http.MethodGet)
	s.router.HandleFunc("/kv", s.importKV).Methods(http.MethodPost)
	s.router.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// words are what answers are made of.
var words = strings.Fields("શ્રદ્ધાંજલિ સ્મૃતિ પ્રણામ દીપ પુષ્પ આત્મા શાંતિ પરિવાર પ્રેમ યાદ સંધ્યા પ્રાર્થના માતા પિતા આશીર્વાદ જીવન કવિતા ગીત નદી આકાશ")

// nextToken is a function of all the text before it.
func nextToken(text string) string {
	return words[xxhash.Sum64String(text)%uint64(len(words))] + " "
}

// Text returns the whole answer to a prompt.
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

// CountTokens is the stand-in's tokenizer: one token a word.
func CountTokens(text string) int { return len(strings.Fields(text)) }

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	var c upstream.Completion
	if !standin.ReadJSON(w, r, &c) {
		return
	}
	if !s.enter(r) {
		standin.WriteError(w, http.StatusTooManyRequests, "engine is full")
		return
	}
	defer s.leave()
	if s.opts.ExitOn != "" && strings.Contains(c.Prompt, s.opts.ExitOn) {
		os.Exit(exitCrash)
	}
	f := s.currentFaults()
	if f.CrashOn != "" && strings.Contains(c.Prompt, f.CrashOn) {
		panic(http.ErrAbortHandler)
	}
	began := time.Now()
	run := s.prefill(r, c)
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		run.Busy = time.Since(began)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(upstream.HeaderRequestID, run.RequestID)
	if f.Corrupt == CorruptForeignEcho {
		w.Header().Set(upstream.HeaderRequestID, foreignTag)
	}
	s.generate(w, r, c, run, f.Corrupt)
}

// enter waits for a slot; it returns false if the queue is full.
func (s *Server) enter(r *http.Request) bool {
	s.mu.Lock()
	if s.faults.Refuse || s.queued >= s.opts.QueueLength {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.note()
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
	s.note()
	return ok
}

func (s *Server) leave() {
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.note()
}

// prefill reads the part of the prompt that the cache does not have.
func (s *Server) prefill(r *http.Request, c upstream.Completion) *Run {
	s.mu.Lock()
	run := &Run{RequestID: r.Header.Get(upstream.HeaderRequestID), Prompt: CountTokens(c.Prompt), At: time.Now()}
	run.Cached = s.cache.lookup(c.Prompt)
	s.cache.add(c.Prompt)
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	pause(r, time.Duration(run.Prompt-run.Cached)*s.opts.PrefillPerToken)
	return run
}

func (s *Server) generate(w http.ResponseWriter, r *http.Request, c upstream.Completion, run *Run, fault Corruption) {
	text := c.Prompt
	s.grow(run, text)
	defer func() { s.retire(run, text) }()
	for i := range c.MaxTokens {
		if !pause(r, s.interval()) {
			return
		}
		token := nextToken(text)
		text += token
		s.grow(run, text)
		chunk := upstream.Chunk{ID: run.RequestID, Object: "text_completion", Model: c.Model, Choices: []upstream.Choice{{Text: token}}}
		if i == c.MaxTokens-1 {
			chunk.Choices[0].FinishReason = "length"
		}
		writeEvent(w, chunk)
		s.mu.Lock()
		run.Generated++
		broken := s.faults.BreakAfter > 0 && run.Generated >= s.faults.BreakAfter
		s.mu.Unlock()
		if broken {
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

// interval is the time between tokens with the present batch.
func (s *Server) interval() time.Duration {
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
	// A failed write shows as the end of the request's context.
	_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
	_ = http.NewResponseController(w).Flush()
}

// pause waits and reports whether the request is still wanted.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
