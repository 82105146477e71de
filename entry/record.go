package entry

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"jaylink/api"
	"jaylink/decision/handover"
	"jaylink/decision/reason"
	"jaylink/peer/peerpb"
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
	Labels      api.Labels
	Fingerprint uint64

	mu         sync.Mutex
	changed    chan struct{}
	service    string
	customer   string
	accepted   bool
	idempotent bool
	started    time.Time
	ended      time.Time
	deadline   time.Time
	attempt    attempt
	// ownership says who drives the request.
	ownership ownership
	// text and tokens are the answer so far of a completion.
	text   []byte
	tokens int
	// finishReason is the engine's; "" stands for the length asked for.
	finishReason string
	// answer is the answer of a plain service.
	answer *upstream.Answer
	// claimed says that the record holds its idempotency key.
	claimed bool
	problem *Problem
	done    bool
	// held says that the record began as a copy of another entry's request.
	held bool
}

// attemptID tells the attempts of a request apart, over all its owners.
type attemptID struct {
	epoch  uint64
	number int
}

// attempt is the newest attempt of a request on this entry.
type attempt struct {
	id     attemptID
	cancel context.CancelFunc
	ended  chan struct{} // closed once the attempt has ended
	began  time.Time
	tokens int // that it generated
}

// running reports whether the attempt was started and has not ended.
func (a *attempt) running() bool {
	if a.ended == nil {
		return false
	}
	select {
	case <-a.ended:
		return false
	default:
		return true
	}
}

// ownership says which entry drives a request.
type ownership struct {
	role  peerpb.Role
	epoch uint64
	// owner is another entry; nil while this one drives the request.
	owner *peerpb.Member
	// holders have copies, in the order in which they take over.
	holders []*peerpb.Member
	// releasing says that a handover is under way.
	releasing bool
	// unfollow ends the following of the owner.
	unfollow context.CancelFunc
}

// claim returns who owns the request; self is the name of this entry.
func (o *ownership) claim(self string) handover.Claim {
	if o.owner != nil {
		self = o.owner.Name
	}
	return handover.Claim{Epoch: o.epoch, Owner: self}
}

// firstEpoch is the epoch of the entry that accepted a request.
const firstEpoch = 1

func newRecord(id string, call Call, now time.Time) *Record {
	return &Record{
		ID: id, Call: call, changed: make(chan struct{}), started: now,
		ownership: ownership{role: peerpb.Role_ROLE_OWNER, epoch: firstEpoch},
	}
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

// finishLength is the finish reason of an answer of the length asked for.
const finishLength = "length"

// view is a consistent copy of what a reader needs.
type view struct {
	text     []byte // from the reader's offset on
	total    int    // the length of the whole text
	tokens   int
	answer   *upstream.Answer
	problem  *Problem
	accepted bool
	done     bool
	finish   string
	customer string
	service  string
	role     peerpb.Role
	epoch    uint64
	owner    *peerpb.Member
}

// read returns the record from an offset of the text on, and a channel that
// closes at the next change.
func (r *Record) read(offset int) (view, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := view{
		total: len(r.text), tokens: r.tokens, answer: r.answer, problem: r.problem,
		accepted: r.accepted, done: r.done, customer: r.customer, service: r.service,
		finish: cmp.Or(r.finishReason, finishLength),
		role:   r.ownership.role, epoch: r.ownership.epoch, owner: r.ownership.owner,
	}
	if offset < len(r.text) {
		v.text = r.text[offset:]
	}
	return v, r.changed
}

// moved reports whether another entry drives the request and this one no
// longer follows it.
func (v *view) moved() bool { return v.role == peerpb.Role_ROLE_MOVED }

// wait returns the record once it is done or has moved to another entry.
func (r *Record) wait(ctx context.Context) (view, error) {
	for {
		v, changed := r.read(0)
		if v.done || v.moved() {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v, ctx.Err()
		}
	}
}

// left reports whether the request is another entry's, and its deadline was
// before a time; the caller holds the lock.
func (r *Record) left(before time.Time) bool {
	return r.ownership.role != peerpb.Role_ROLE_OWNER && r.deadline.Before(before)
}

// size returns the size of prompt and answer so far in bytes.
func (r *Record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := len(r.Call.Body) + len(r.text)
	if r.answer != nil {
		size += len(r.answer.Body)
	}
	return size
}
