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
	// MaxInFlight is the customer's bound for the fleet; 0 means none.
	MaxInFlight int
	// CustomerInFlight is the customer's number of accepted requests here.
	CustomerInFlight int
	// Entries is the number of live entries, this one included.
	Entries int
	// QueueLength is the service's bound on waiting requests.
	QueueLength int
	// Queued is the service's number of waiting requests here.
	Queued int
	// ServiceTime estimates how long one request holds a slot.
	ServiceTime time.Duration
	// Slots is the number of slots of the service that this entry can use.
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

// minRetryAfter is the shortest time that a refused caller is told to wait.
const minRetryAfter = time.Second

// DrainTime estimates when the waiting requests will have been started.
func (r *Request) DrainTime() time.Duration {
	t := r.ServiceTime * time.Duration(r.Queued+1) / time.Duration(max(r.Slots, 1))
	return max(t, minRetryAfter)
}
