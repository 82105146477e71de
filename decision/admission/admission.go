// Package admission decides whether an entry (a proxy process) accepts a
// request. It does no I/O and reads no clock. Limits are plug-ins.
package admission

import (
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
)

// Request holds what a limit may know about a request and the state of the
// entry.
type Request struct {
	Service  string
	Customer string
	Class    api.Class
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// MaxInFlight is the customer's limit for all entries together; 0 means
	// none.
	MaxInFlight int
	// CustomerInFlight is the number of the customer's accepted requests on
	// this entry, and CustomerElsewhere that on the other entries as last
	// reported. Urgent requests are counted separately from others, and only on
	// this entry.
	CustomerInFlight  int
	CustomerElsewhere int
	// Peers is the number of entries that CustomerElsewhere includes.
	Peers int
	// Entries is the number of live entries, including this one.
	Entries int
	// QueueLength is the service's limit on queued requests.
	QueueLength int
	// Queued is the number of the service's queued requests on this entry.
	Queued int
	// Ahead is the number of them with the request's class or a more urgent
	// one.
	Ahead int
	// CustomerQueued is the number of them that belong to the customer.
	CustomerQueued int
	// CustomerShare is the customer's weight divided by the sum of the weights
	// of all customers with queued requests, including this one.
	CustomerShare float64
	// ServiceTime is an estimate of how long one request occupies a slot, and
	// Fastest approximately the shortest recent time; 0 if unknown.
	ServiceTime, Fastest time.Duration
	// Slots is the number of the service's slots that accept new work,
	// including those in use. All entries share them.
	Slots int
}

// Verdict is the decision of a limit. The zero value admits the request.
type Verdict struct {
	Refusal    reason.Reason
	RetryAfter time.Duration
}

// Limit decides whether to admit a request.
type Limit interface {
	Admit(r *Request) Verdict
}

// Check applies the limits in order and returns the first refusal.
func Check(limits []Limit, r *Request) Verdict {
	for _, l := range limits {
		if v := l.Admit(r); v.Refusal != "" {
			return v
		}
	}
	return Verdict{}
}

// Bounds on the Retry-After of a refused request.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Minute
)

// Wait estimates how long it takes until the requests ahead have started. It
// assumes that the other entries have equally long queues, so that this entry
// gets one part in Entries of the slots.
func (r *Request) Wait() time.Duration {
	rounds := float64(r.Ahead) * float64(max(r.Entries, 1)) / float64(max(r.Slots, 1))
	return time.Duration(rounds * float64(r.ServiceTime))
}

// DrainTime is Wait for one more request, limited to the bounds of Retry-After.
func (r *Request) DrainTime() time.Duration {
	next := *r
	next.Ahead++
	return min(max(next.Wait(), minRetryAfter), maxRetryAfter)
}
