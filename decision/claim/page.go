package claim

import (
	"net/http"
	"slices"
	"time"
)

// Outcome is the stored answer to the request that holds a claim.
type Outcome struct {
	// Unknown is set if the request may have run, but its answer was lost.
	Unknown bool `json:"unknown,omitempty"`
	// AnswerTooLarge is set if the request ran, but its answer was too large to
	// store.
	AnswerTooLarge bool `json:"unkept,omitempty"`
	// Status, Header and Body are the answer of an HTTP service.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Text and Tokens are the answer of a model engine.
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
}

// Claim is a stored claim on an idempotency key.
type Claim struct {
	// Key identifies customer, service and idempotency key; see the function
	// Key.
	Key string `json:"key"`
	// RequestID identifies the request that holds the key. It is random, so
	// finding it on the page proves that a write whose answer was lost took
	// effect.
	RequestID string `json:"request_id"`
	// Fingerprint is a hash of the request. A different request with the same
	// key is refused.
	Fingerprint uint64 `json:"fingerprint"`
	// Holder and Incarnation identify the entry process that runs the request.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Deadline is the time after which the holder no longer dispatches the
	// request.
	Deadline time.Time `json:"deadline"`
	// Expires is the time at which the claim ends and the key is free again.
	Expires time.Time `json:"expires"`
	Outcome *Outcome  `json:"outcome,omitempty"`
}

// Page is a stored object with the claims of all keys that share a prefix.
type Page struct {
	Claims []Claim `json:"claims"`
}

func (p *Page) clone() Page { return Page{Claims: slices.Clone(p.Claims)} }

func (p *Page) find(key string, now time.Time) int {
	return slices.IndexFunc(p.Claims, func(c Claim) bool { return c.Key == key && now.Before(c.Expires) })
}

// findRequest returns the index of a request's claim, or -1.
func (p *Page) findRequest(requestID string) int {
	return slices.IndexFunc(p.Claims, func(c Claim) bool { return c.RequestID == requestID })
}

// expire removes expired claims.
func (p *Page) expire(now time.Time) {
	p.Claims = slices.DeleteFunc(p.Claims, func(c Claim) bool { return !now.Before(c.Expires) })
}

// OpKind is the kind of an operation on a page.
type OpKind string

// Kinds of operations.
const (
	// OpClaim claims the key for a request.
	OpClaim OpKind = "claim"
	// OpRecord stores the outcome of the request that holds the key.
	OpRecord OpKind = "record"
	// OpRelease frees the key of a request that certainly did not run.
	OpRelease OpKind = "release"
)

// Op is an operation on a page. OpClaim needs the whole claim. OpRecord needs
// RequestID and Outcome, and also Key and Fingerprint, because the outcome
// settles claims on the same key before it is stored. OpRelease needs
// RequestID.
type Op struct {
	Kind  OpKind
	Claim Claim
}

// Result is the result of an operation.
type Result string

// Results of an operation.
const (
	// Won means that this request, and no other, holds the key.
	Won Result = "won"
	// Held means that another request holds the key and has no outcome yet.
	Held Result = "held"
	// Done means that the key has an outcome.
	Done Result = "done"
	// Mismatch means that the key was used for a different request.
	Mismatch Result = "mismatch"
	// Failed means that the store gave no usable answer or refused the call. The
	// request must not be dispatched. If a write with its claim may have taken
	// effect, or may still do so, the writer releases the claim afterwards.
	Failed Result = "failed"
	// Recorded and Released mean that the operation is stored.
	Recorded Result = "recorded"
	Released Result = "released"
	// Dropped means that there was no claim to change any more, or that the
	// store permanently refuses the change.
	Dropped Result = "dropped"
)

// apply applies an operation and reports whether the page changed. It is
// idempotent: a second call returns the same result and changes nothing.
func (p *Page) apply(op Op, now time.Time) (Result, bool) {
	switch op.Kind {
	case OpClaim:
		return p.claim(op.Claim, now)
	case OpRecord:
		return p.record(op.Claim)
	default:
		return p.release(op.Claim)
	}
}

func (p *Page) claim(c Claim, now time.Time) (Result, bool) {
	i := p.find(c.Key, now)
	if i < 0 {
		p.Claims = append(p.Claims, c)
		return Won, true
	}
	held := &p.Claims[i]
	switch {
	case held.RequestID == c.RequestID:
		return Won, false
	case held.Fingerprint != c.Fingerprint:
		return Mismatch, false
	case held.Outcome != nil:
		return Done, false
	}
	return Held, false
}

func (p *Page) record(c Claim) (Result, bool) {
	i := p.findRequest(c.RequestID)
	switch {
	case i < 0:
		return Dropped, false
	case p.Claims[i].Outcome != nil:
		return Recorded, false
	}
	p.Claims[i].Outcome = c.Outcome
	return Recorded, true
}

func (p *Page) release(c Claim) (Result, bool) {
	i := p.findRequest(c.RequestID)
	switch {
	case i < 0:
		return Released, false
	case p.Claims[i].Outcome != nil:
		return Dropped, false
	}
	p.Claims = slices.Delete(p.Claims, i, i+1)
	return Released, true
}
