// Package admission decides whether an entry accepts a request. It does no I/O
// and reads no clock. Limits are plug-ins.
package admission

import (
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
)

// Request is what a limit knows about a request and the entry's state.
type Request struct {
	Service  string
	Customer string
	Class    api.Class
	// Timeout is the time to the request's deadline.
	Timeout time.Duration
	// MaxInFlight is the customer's bound for the fleet; 0 means none.
	MaxInFlight int
	// CustomerInFlight is the customer's number of accepted requests here, and
	// CustomerElsewhere that on the other entries as they last reported.
	// Urgent requests and others are counted apart, and urgent ones only here.
	CustomerInFlight  int
	CustomerElsewhere int
	// Peers is the number of entries that CustomerElsewhere comes from.
	Peers int
	// Entries is the number of live entries, this one included.
	Entries int
	// QueueLength is the service's bound on waiting requests.
	QueueLength int
	// Queued is the service's number of waiting requests here.
	Queued int
	// Ahead is the number of them that are of the request's class or of a
	// more pressing one.
	Ahead int
	// CustomerQueued is the number of them that are the customer's.
	CustomerQueued int
	// CustomerShare is the customer's weight divided by that of all customers
	// with waiting requests, this one included.
	CustomerShare float64
	// ServiceTime estimates how long one request holds a slot, and Fastest is
	// about the shortest time seen of late; 0 if none is known.
	ServiceTime, Fastest time.Duration
	// Slots is the number of slots of the service that take new work, those
	// in use included. All entries use them.
	Slots int
}

// Verdict is a limit's answer. The zero value admits.
type Verdict struct {
	Refusal    reason.Reason
	RetryAfter time.Duration
}

// Limit decides whether a request is admitted.
type Limit interface {
	Admit(r *Request) Verdict
}

// Check asks the limits in order and returns the first refusal.
func Check(limits []Limit, r *Request) Verdict {
	for _, l := range limits {
		if v := l.Admit(r); v.Refusal != "" {
			return v
		}
	}
	return Verdict{}
}

// Bounds on the time that a refused caller is told to wait.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Minute
)

// Wait estimates when the requests ahead will have been started. The other
// entries are taken to have as many waiting, so this entry's share of the slots
// is one part in Entries.
func (r *Request) Wait() time.Duration {
	rounds := float64(r.Ahead) * float64(max(r.Entries, 1)) / float64(max(r.Slots, 1))
	return time.Duration(rounds * float64(r.ServiceTime))
}

// DrainTime is Wait with one more request, within the bounds of a Retry-After.
func (r *Request) DrainTime() time.Duration {
	more := *r
	more.Ahead++
	return min(max(more.Wait(), minRetryAfter), maxRetryAfter)
}
