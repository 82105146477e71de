package customer

import (
	"jaylink/api"
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

// burstShares is how many times its even share of the bound one entry may use
// while the fleet is known to be below the bound.
const burstShares = 2

// Limit bounds the accepted requests of one customer in the whole fleet, without
// a call a request. Entries tell each other their numbers with their heartbeats.
// While the sum is below max_in_flight, an entry accepts up to twice its even
// share, and at least one request more than it; so uneven arrivals are not
// refused while the fleet has room. Between two heartbeats the fleet can pass
// the bound by what the entries accept in that time, and never to more than
// twice the bound and one request an entry. An entry that hears of no other
// keeps to its even share.
//
// Urgent requests are short and someone stands and waits for them, so they are
// not refused because other work has filled the bound: they are counted apart,
// and each entry accepts up to max_in_flight of them. It has no options.
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
		burst := max(burstShares*share, share+1)
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
