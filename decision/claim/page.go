package claim

import (
	"net/http"
	"slices"
	"time"
)

// Outcome is the recorded answer to the request that holds a claim.
type Outcome struct {
	// Unknown says that the work may have run but its answer was lost.
	Unknown bool `json:"unknown,omitempty"`
	// Unkept says that the work ran and its answer was too large to keep.
	Unkept bool `json:"unkept,omitempty"`
	// Status, Header and Body are the answer of a plain service.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Text and Tokens are the answer of a model engine.
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
}

// Claim is one claim on an idempotency key, as it is stored.
type Claim struct {
	// Key names customer, service and idempotency key; see Key.
	Key string `json:"key"`
	// RequestID is the holding request. It is drawn at random, so it also
	// settles whether a write whose answer was lost took effect.
	RequestID string `json:"request_id"`
	// Fingerprint is a hash of the request; the same key with another one
	// is refused.
	Fingerprint uint64 `json:"fingerprint"`
	// Holder and Incarnation are the entry process that runs the request.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Deadline is the time after which the holder dispatches nothing.
	Deadline time.Time `json:"deadline"`
	// Expires is the time at which the key is free again.
	Expires time.Time `json:"expires"`
	Outcome *Outcome  `json:"outcome,omitempty"`
}

// Page is one stored object: the claims whose keys share a prefix.
type Page struct {
	Claims []Claim `json:"claims"`
}

func (p *Page) clone() Page { return Page{Claims: slices.Clone(p.Claims)} }

func (p *Page) find(key string, now time.Time) int {
	return slices.IndexFunc(p.Claims, func(c Claim) bool { return c.Key == key && now.Before(c.Expires) })
}

// own returns the index of a request's claim, or -1.
func (p *Page) own(requestID string) int {
	return slices.IndexFunc(p.Claims, func(c Claim) bool { return c.RequestID == requestID })
}

// expire drops the claims whose time is over.
func (p *Page) expire(now time.Time) {
	p.Claims = slices.DeleteFunc(p.Claims, func(c Claim) bool { return !now.Before(c.Expires) })
}

// OpKind says what an operation does to a page.
type OpKind string

// The kinds of operation.
const (
	// OpClaim takes the key for a request.
	OpClaim OpKind = "claim"
	// OpRecord stores the outcome of the request that holds the key.
	OpRecord OpKind = "record"
	// OpRelease frees the key of a request that certainly did not run.
	OpRelease OpKind = "release"
)

// Op is one operation on a page. OpClaim needs the whole claim, OpRecord its
// RequestID and Outcome, OpRelease its RequestID.
type Op struct {
	Kind  OpKind
	Claim Claim
}

// Result is what became of an operation.
type Result string

// The results of an operation.
const (
	// Won means that the key is this request's, and no other's.
	Won Result = "won"
	// Held means that another request has the key and no outcome yet.
	Held Result = "held"
	// Done means that the key has an outcome.
	Done Result = "done"
	// Mismatch means that the key was used for another request.
	Mismatch Result = "mismatch"
	// Failed means that the store could not be asked. The request must not
	// be dispatched; what may still be stored for it is released.
	Failed Result = "failed"
	// Recorded and Released mean that the operation is stored.
	Recorded Result = "recorded"
	Released Result = "released"
	// Dropped means that there was no claim left to change, or that the
	// store refuses the change for good.
	Dropped Result = "dropped"
)

// apply carries out an operation and reports whether the page changed.
// Applying an operation again gives the same result and changes nothing.
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
	i := p.own(c.RequestID)
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
	i := p.own(c.RequestID)
	switch {
	case i < 0:
		return Released, false
	case p.Claims[i].Outcome != nil:
		return Dropped, false
	}
	p.Claims = slices.Delete(p.Claims, i, i+1)
	return Released, true
}
