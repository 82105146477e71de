// Package silence decides what becomes of an attempt whose upstream sends nothing for longer
// than usual. It does no I/O.
//
// Silence does not show that an upstream has stopped working: it may be paused, short of
// processor time or busy with a long prompt. An attempt is given up for it only if the request
// has somewhere better to go. Callers therefore first reserve what the next attempt needs,
// and keep waiting if they can't.
package silence

import "time"

// MinRemaining is the least remaining time with which a request is sent to an upstream.
const MinRemaining = 20 * time.Millisecond

// Attempt is an attempt whose upstream is silent.
type Attempt struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Partial is set if the caller has a part of an answer that no other upstream could go
	// on with.
	Partial bool
	// Attempts is the number of attempts that may have run, including this one, and
	// MaxAttempts the highest number allowed.
	Attempts, MaxAttempts int
}

// MayMove reports whether the request could go on at another upstream.
func (a Attempt) MayMove() bool { return a.Repeatable && !a.Partial && a.Attempts < a.MaxAttempts }

// Alternative is another upstream for the request.
type Alternative struct {
	// Found is set if an upstream takes the request now.
	Found bool
	// Predicted is the predicted time until it begins to answer, and Remaining the time
	// until the request's deadline.
	Predicted, Remaining time.Duration
}

// Suits reports whether the other upstream could answer in time.
func (a Alternative) Suits() bool {
	return a.Found && a.Remaining >= max(a.Predicted, MinRemaining)
}
