package customer

import (
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

// Limit bounds the accepted requests of one customer. The customer's
// max_in_flight counts for the whole fleet; each entry allows its share of it,
// rounded up, so that no call between entries is needed. It has no options.
type Limit struct{}

// Admit implements admission.Limit.
func (*Limit) Admit(r *admission.Request) admission.Verdict {
	if r.MaxInFlight == 0 {
		return admission.Verdict{}
	}
	entries := max(r.Entries, 1)
	share := (r.MaxInFlight + entries - 1) / entries
	if r.CustomerInFlight < share {
		return admission.Verdict{}
	}
	return admission.Verdict{Refusal: reason.CustomerLimit, RetryAfter: r.DrainTime()}
}
