package customer

import (
	"jaylink/api"
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

// burstFactor is the multiple of its even share of the limit that one entry may use
// while the fleet is known to be below the limit.
const burstFactor = 2

// Limit limits the accepted requests of one customer in the whole fleet, without a
// call between entries for each request. Entries exchange their counts with their
// heartbeats. While the sum is below max_in_flight, an entry accepts up to twice its
// even share, and at least one request more than its share, so that unevenly
// distributed requests are not refused while the fleet has capacity. Between two
// heartbeats the fleet can exceed the limit by the requests that the entries accept in
// that time, but never has more than twice the limit plus one request per entry. An
// entry without counts of other entries accepts only its even share.
//
// Urgent requests are short and a person waits for their answer, so they are not
// refused because other requests have used up the limit: they are counted separately,
// and each entry accepts up to max_in_flight of them. Limit has no options.
type Limit struct{}

// Admit implements admission.Limit.
func (*Limit) Admit(r *admission.Request) admission.Verdict {
	if r.MaxInFlight == 0 {
		return admission.Verdict{}
	}
	if r.Class == api.ClassUrgent {
		return verdict(r, r.CustomerInFlight < r.MaxInFlight)
	}
	entries := max(r.Entries, 1)
	share := (r.MaxInFlight + entries - 1) / entries
	allowed := r.CustomerInFlight < share
	if r.Peers > 0 {
		burst := max(burstFactor*share, share+1)
		total := r.CustomerInFlight + r.CustomerElsewhere
		allowed = total < r.MaxInFlight && r.CustomerInFlight < burst
	}
	return verdict(r, allowed)
}

func verdict(r *admission.Request, allowed bool) admission.Verdict {
	if allowed {
		return admission.Verdict{}
	}
	return admission.Verdict{Refusal: reason.CustomerLimit, RetryAfter: r.DrainTime()}
}
