// Package route selects the upstream that runs a request. It does no I/O, reads
// no clock and uses no random source, so the same sequence of calls always selects
// the same upstreams.
//
// A Table holds an entry's view of the upstreams. Filters decide which of them
// may run a request, scorers assign costs to the rest, and the upstream with the
// lowest total is selected. Filters and scorers are plug-ins.
//
// Pick examines a few upstreams from each group, that is, each combination of
// region, availability zone, price and number of slots. Its running time therefore
// grows with the number of groups and not with the fleet. If the filters reject all
// of these, Pick examines every upstream, so a request never waits while an upstream
// is free for it.
package route

import (
	"time"

	"jaylink/api"
)

// Load is an upstream's report of its own load. It lags behind the actual load.
type Load struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	At      time.Time `json:"at"`
}

// Upstream is an entry's view of one upstream.
type Upstream struct {
	// Suspects counts this entry's requests on the upstream that have Suspect
	// set.
	Suspects int
	Name     string
	Labels   api.Labels
	Spec     *api.UpstreamSpec
	// Load is the latest report. LoadInFlight is the value of InFlight when that
	// report arrived.
	Load         Load
	LoadInFlight int
	// InFlight is the number of requests that this entry has on the upstream.
	InFlight int
	// LastStart is the sequence number of this entry's latest dispatch to the
	// upstream. Dispatches are numbered across all upstreams.
	LastStart uint64
	// Leaving is set if the upstream must not be sent new requests.
	Leaving bool
	// SuspectUntil is the time until which the upstream is avoided because
	// calls to it failed.
	SuspectUntil time.Time
	// Failures counts consecutive failed calls.
	Failures int
	// RelativePrice is the price per slot divided by the mean over all
	// upstreams of the same protocol, or 1 if no prices are known.
	RelativePrice float64
	// Affinity is valid only during the current decision.
	Affinity Affinity

	prefixes     prefixSet
	lastDecision uint64 // number of the last decision that examined the upstream
	indexes      []*index
	entries      *int
}

// Slots returns the number of requests that the upstream runs concurrently.
func (u *Upstream) Slots() int {
	if u.Spec.Slots > 0 {
		return u.Spec.Slots
	}
	return api.DefaultSlots
}

// Busy estimates the current number of requests on the upstream from its latest
// report, adjusted for the requests that this entry has started and ended since.
func (u *Upstream) Busy() int {
	busy := u.Load.Running + u.Load.Queued + u.InFlight - u.LoadInFlight
	return max(busy, u.InFlight, 0)
}

// Unseen estimates how many requests the other entries have started on the
// upstream since its latest report, assuming that each started as many as this
// entry.
func (u *Upstream) Unseen() int {
	return max(u.InFlight-u.LoadInFlight, 0) * (*u.entries - 1)
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	ID string
	// Seed is a random number that stays the same for all decisions on the request.
	Seed     uint64
	Service  string
	Customer string
	Class    api.Class
	// Upstreams is the service's selector for upstream labels.
	Upstreams api.Selector
	// Zone and Region are the location of the entry.
	Zone, Region string
	// Prefix is a hash of the start of the prompt, or 0 if there is no prompt.
	Prefix uint64
	// Tried names the upstreams that failed this request.
	Tried    []string
	Accepted time.Time
	Deadline time.Time
	// Suspect is set if the request was involved in the crash of an upstream.
	Suspect bool
}

// Filter decides whether an upstream may run a request. The result may depend
// only on the time, the upstream, and the request's class and failed attempts.
type Filter interface {
	Keep(now time.Time, r *Request, u *Upstream) bool
}

// DeferringFilter is a Filter whose result also depends on other properties of
// the request. It may make a request wait while an upstream is free, but only for
// a bounded time.
type DeferringFilter interface {
	Filter
	MayDefer()
}

// Scorer assigns a cost to running a request on an upstream. A cost of 1 is
// equivalent to waiting for one slot. Lower is better.
type Scorer interface {
	Score(now time.Time, r *Request, u *Upstream) float64
}

// Exhaustive is implemented by scorers that have to evaluate every upstream. If
// the chain contains one, Pick does not sample the candidates.
type Exhaustive interface {
	ScoreAll()
}

// StartObserver is implemented by scorers that count dispatches. The argument
// entries is the number of live entries.
type StartObserver interface {
	Started(now time.Time, r *Request, u *Upstream, entries int)
}
