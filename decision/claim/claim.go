// Package claim decides about idempotency keys, so that work which may not be
// repeated runs at most once whichever entry its repeats reach.
//
// A claim says which request holds a key. It is won by a conditional write
// before the request is dispatched, and its life is
//
//	claimed -> outcome recorded   the answer, which repeats get
//	        -> outcome unknown    it may have run; its answer was lost
//	        -> released           it certainly did not run; the key is free
//	        -> (holder gone)      like unknown, without a further write
//
// and it ends with its retention. Claims are kept on pages: objects of the
// platform's store that each hold the claims of keys with a common prefix. A
// page is only ever replaced under a condition on its version and never
// deleted, so a delayed write can't take effect once any later write has.
//
// Writer is the state machine of one page on one entry. It does no I/O, starts
// no goroutine, reads no clock and draws no randomness. The driver passes in
// operations and the answers of the store, and carries out what comes back.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// keyBytes is the length of a key's hash.
	keyBytes = 16
	// pageDigits is the number of hexadecimal digits that name a page, so
	// there are 16^5 (1,048,576) pages. All entries must agree on it.
	pageDigits = 5
	// MaxOutcome bounds a recorded answer, headers included, in bytes.
	MaxOutcome = 16 << 10
	// MaxPage bounds an encoded page, in bytes; the store holds 1 MiB.
	MaxPage = 768 << 10
)

// Key returns the name of an idempotency key of a customer at a service.
func Key(customer, service, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:keyBytes])
}

// PageName returns the name of the page that holds a key.
func PageName(key string) string { return key[:pageDigits] }

// NewOutcome returns the outcome of an answer; a large body is not kept.
func NewOutcome(o Outcome) *Outcome {
	size := len(o.Body) + len(o.Text)
	for name, values := range o.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > MaxOutcome {
		return &Outcome{Unkept: true, Status: o.Status}
	}
	return &o
}

// HolderState is what an entry knows about the process that holds a claim.
type HolderState string

// The states of a holder.
const (
	// HolderAlive means that the process was heard of lately.
	HolderAlive HolderState = "alive"
	// HolderGone means that the process ended, or has been silent for
	// longer than a live one is.
	HolderGone HolderState = "gone"
	// HolderUnheard means that this entry has not run for long enough to
	// have heard of every live process.
	HolderUnheard HolderState = "unheard"
)

// InProgress reports whether a claim without an outcome may still get one. If
// not, the outcome is unknown.
func InProgress(c Claim, now time.Time, holder HolderState) bool {
	switch holder {
	case HolderAlive:
		return true
	case HolderUnheard:
		return now.Before(c.Deadline)
	}
	return false
}
