// Package claim implements claims on idempotency keys. They ensure that a
// request that must not be repeated runs at most once, whichever entries (the
// processes that accept requests from callers) receive its repeats.
//
// A claim states which request holds a key. The request gets it by a
// conditional write before it is dispatched. The states of a claim are:
//
//	claimed -> outcome recorded   repeats get the stored answer
//	        -> outcome unknown    it may have run; its answer was lost
//	        -> released           it certainly did not run; the key is free
//	        -> (holder gone)      like unknown, without another write
//
// A claim is deleted when its retention time ends. Claims are stored on pages:
// objects in the platform's store that each hold the claims of keys with a
// common prefix. A page is replaced only on condition that its version has not
// changed, and is never deleted. A delayed write therefore can't take effect
// after a later write has.
//
// Writer is the state machine for one page on one entry. It does no I/O, starts
// no goroutines, reads no clock and uses no randomness. The driver passes in
// operations and the responses of the store, and carries out the returned
// actions.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

const (
	// keyBytes is the length of the hash that identifies a key.
	keyBytes = 16
	// pageDigits is the number of leading hexadecimal digits of a key that name
	// its page. There are 16^5 (1,048,576) pages. All entries must use the same
	// value.
	pageDigits = 5
	// MaxOutcome is the maximum size of a stored answer in bytes, including
	// headers.
	MaxOutcome = 16 << 10
	// MaxPage is the maximum size of an encoded page in bytes. The store
	// accepts objects of up to 1 MiB.
	MaxPage = 768 << 10
)

// Key returns the identifier under which a customer's idempotency key for a
// service is stored.
func Key(customer, service, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:keyBytes])
}

// PageName returns the name of the page that holds a key.
func PageName(key string) string { return key[:pageDigits] }

// NewOutcome returns the outcome to store for an answer. An answer larger than
// MaxOutcome is not stored.
func NewOutcome(o Outcome) *Outcome {
	size := len(o.Body) + len(o.Text)
	for name, values := range o.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > MaxOutcome {
		return &Outcome{AnswerTooLarge: true, Status: o.Status}
	}
	return &o
}

// HolderState is what an entry knows about the process that holds a claim.
type HolderState string

// States of a holder.
const (
	// HolderAlive means that the process was heard from recently.
	HolderAlive HolderState = "alive"
	// HolderGone means that the process has ended, or has been silent for
	// longer than a live process would be.
	HolderGone HolderState = "gone"
	// HolderUnknown means that this entry has not been running long enough to
	// have heard from every live process.
	HolderUnknown HolderState = "unheard"
)

// InProgress reports whether a claim without an outcome may still get one.
// Otherwise the outcome is unknown.
func InProgress(c Claim, now time.Time, holder HolderState) bool {
	switch holder {
	case HolderAlive:
		return true
	case HolderUnknown:
		return now.Before(c.Deadline)
	}
	return false
}
