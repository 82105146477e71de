package deadline

import (
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

// Limit refuses a request immediately if the requests ahead of it in the queue are
// expected to take so long that even the fastest answer would miss the deadline. It
// has no options.
type Limit struct{}

// Admit implements admission.Limit.
func (*Limit) Admit(r *admission.Request) admission.Verdict {
	if r.Ahead == 0 || r.Timeout == 0 || r.Wait()+r.Fastest <= r.Timeout {
		return admission.Verdict{}
	}
	return admission.Verdict{Refusal: reason.DeadlineUnmet, RetryAfter: r.DrainTime()}
}
