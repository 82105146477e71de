package queue

import (
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

// fairShareThreshold is the fill level of the queue from which each customer is limited
// to its share.
const fairShareThreshold = 0.5

// Limit refuses a request if the queue of its service is full, or if the queue is at
// least half full and the customer already has its share of it, by weight among the
// customers with waiting requests. This leaves room for others when one customer sends
// many requests. Retry-After is the time in which the queue is expected to empty. It
// has no options; the maximum length is the service's queue_length.
type Limit struct{}

// Admit implements admission.Limit.
func (*Limit) Admit(r *admission.Request) admission.Verdict {
	length := float64(r.QueueLength)
	full := r.Queued >= r.QueueLength
	share := max(r.CustomerShare*length, 1)
	overShare := float64(r.Queued) >= fairShareThreshold*length && float64(r.CustomerQueued) >= share
	if !full && !overShare {
		return admission.Verdict{}
	}
	return admission.Verdict{Refusal: reason.QueueFull, RetryAfter: r.DrainTime()}
}
