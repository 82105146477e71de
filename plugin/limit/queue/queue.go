package queue

import (
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

// fairFrom is the share of the queue from which on a customer may hold no more
// than its part.
const fairFrom = 0.5

// Limit refuses a request if the queue of its service is full, or if it is at
// least half full and the customer already holds its part of it, by weight among
// the customers that wait. So a large customer leaves room for the others.
// Retry-After is the time in which the queue is expected to empty. It has no
// options; the length is the service's queue_length.
type Limit struct{}

// Admit implements admission.Limit.
func (*Limit) Admit(r *admission.Request) admission.Verdict {
	length := float64(r.QueueLength)
	full := r.Queued >= r.QueueLength
	part := max(r.CustomerShare*length, 1)
	crowded := float64(r.Queued) >= fairFrom*length && float64(r.CustomerQueued) >= part
	if !full && !crowded {
		return admission.Verdict{}
	}
	return admission.Verdict{Refusal: reason.QueueFull, RetryAfter: r.DrainTime()}
}
