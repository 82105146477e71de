package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"jaylink/decision/reason"
	"jaylink/upstream"
)

// Call is what a caller sent.
type Call struct {
	Method string
	URI    string
	Header http.Header
	Body   []byte
	Key    string
	// Completion is set for calls in the completions form.
	Completion *upstream.Completion
}

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	Type   string        `json:"type"`
	Title  string        `json:"title"`
	Status int           `json:"status"`
	Detail string        `json:"detail,omitempty"`
	Reason reason.Reason `json:"reason"`
	Ran    reason.Ran    `json:"ran"`
	// RetryAfter is when to come back; 0 if sending again can't help.
	RetryAfter time.Duration `json:"-"`
}

// Record is one request and its answer so far. Attempts write to it and any
// number of callers read from it.
type Record struct {
	ID          string
	Call        Call
	Fingerprint uint64

	mu         sync.Mutex
	changed    chan struct{}
	service    string
	customer   string
	accepted   bool
	idempotent bool
	started    time.Time
	ended      time.Time
	attempt    int
	cancel     context.CancelFunc
	// text and tokens are the answer so far of a completion.
	text   []byte
	tokens int
	// answer is the answer of a plain service.
	answer *upstream.Answer
	// claimed says that the record holds its idempotency key.
	claimed bool
	// deadline is when the request is given up.
	deadline time.Time
	problem  *Problem
	done     bool
}

func newRecord(id string, call Call, now time.Time) *Record {
	return &Record{ID: id, Call: call, changed: make(chan struct{}), started: now}
}

// notify wakes the readers; the caller holds the lock.
func (r *Record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// update changes the record under its lock and wakes the readers.
func (r *Record) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	r.notify()
}

// finish ends the record, with a problem or with its answer.
func (r *Record) finish(now time.Time, p *Problem) {
	r.update(func() {
		r.problem = p
		r.done = true
		r.ended = now
	})
}

// view is a consistent copy of what a reader needs.
type view struct {
	text     []byte // from the reader's offset on
	total    int    // the length of the whole text
	tokens   int
	answer   *upstream.Answer
	problem  *Problem
	accepted bool
	done     bool
	customer string
	service  string
}

// read returns the record from an offset of the text on, and a channel that
// closes at the next change.
func (r *Record) read(offset int) (view, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := view{
		total: len(r.text), tokens: r.tokens, answer: r.answer, problem: r.problem,
		accepted: r.accepted, done: r.done, customer: r.customer, service: r.service,
	}
	if offset < len(r.text) {
		v.text = r.text[offset:]
	}
	return v, r.changed
}

// wait returns the record once it is done.
func (r *Record) wait(ctx context.Context) (view, error) {
	for {
		v, changed := r.read(0)
		if v.done {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}
