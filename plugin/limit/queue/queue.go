package queue

import (
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

// Limit refuses a request if the queue of its service is full. Retry-After is
// the time in which the queue is expected to empty. It has no options; the
// length is the service's queue_length.
type Limit struct{}

// Admit implements admission.Limit.
func (*Limit) Admit(r *admission.Request) admission.Verdict {
	if r.Queued < r.QueueLength {
		return admission.Verdict{}
	}
	return admission.Verdict{Refusal: reason.QueueFull, RetryAfter: r.DrainTime()}
}
