// Package route decides which upstream runs a request. It does no I/O, reads no
// clock and draws no randomness: the same calls give the same upstream.
//
// A Table holds what an entry believes about the upstreams. Filters say which
// of them may run a request at all; scorers say what each would cost, and the
// lowest total wins. Filters and scorers are plug-ins.
//
// Pick looks at a few upstreams of each availability zone and price, so its time
// grows with the number of those groups and not with the fleet. Only if filters
// keep none of them are all upstreams looked at; so a request never waits while
// an upstream is free for it.
package route

import (
	"time"

	"jaylink/api"
)

// Load is what an upstream reports about itself. It lags.
type Load struct {
	Running int       `json:"running"`
	Queued  int       `json:"queued"`
	At      time.Time `json:"at"`
}

// Upstream is what an entry believes about one upstream.
type Upstream struct {
	// Suspects counts the requests of this entry that the upstream runs and
	// that took part in a crash.
	Suspects int
	Name     string
	Labels   api.Labels
	Spec     *api.UpstreamSpec
	// Load is the newest report; LoadInFlight is this entry's own number of
	// requests on the upstream when that report came.
	Load         Load
	LoadInFlight int
	// InFlight is this entry's own number of requests on the upstream.
	InFlight int
	// LastStart is the number of this entry's newest dispatch to the
	// upstream, counted over all upstreams.
	LastStart uint64
	// Leaving says that the upstream gets no new work.
	Leaving bool
	// SuspectUntil is the time until which the upstream is avoided because
	// calls to it failed.
	SuspectUntil time.Time
	// Failures counts failed calls in a row.
	Failures int
	// RelativePrice is the price of a slot divided by the mean of all
	// upstreams of the same protocol; 1 where no prices are known.
	RelativePrice float64
	// Affinity is set for the decision that is being made.
	Affinity Affinity

	held     held
	seen     uint64 // the number of the last decision that looked at it
	services []*index
	entries  *int
}

// Slots returns how many requests the upstream runs at once.
func (u *Upstream) Slots() int {
	if u.Spec.Slots > 0 {
		return u.Spec.Slots
	}
	return api.DefaultSlots
}

// Busy estimates how many requests the upstream has now: its lagging report,
// corrected by what this entry has started and ended since.
func (u *Upstream) Busy() int {
	busy := u.Load.Running + u.Load.Queued + u.InFlight - u.LoadInFlight
	return max(busy, u.InFlight, 0)
}

// Unseen estimates how many requests the other entries have started on the
// upstream since its report, as many each as this entry has.
func (u *Upstream) Unseen() int {
	return max(u.InFlight-u.LoadInFlight, 0) * (*u.entries - 1)
}

// Request is what routing knows about a request.
type Request struct {
	ID string
	// Seed is a random number, the same for all decisions on the request.
	Seed     uint64
	Service  string
	Customer string
	Class    api.Class
	// Upstreams is the service's selector on upstream labels.
	Upstreams api.Selector
	// Zone and Region are those of the entry.
	Zone, Region string
	// Prefix is a hash of the start of the prompt; 0 if there is none.
	Prefix uint64
	// Tried names the upstreams that failed this request.
	Tried    []string
	Accepted time.Time
	Deadline time.Time
	// Suspect says that the request took part in an upstream's crash.
	Suspect bool
}

// Filter says whether an upstream may run a request. Its answer may depend on
// the time, the upstream, and the request's class and failed attempts.
type Filter interface {
	Keep(now time.Time, r *Request, u *Upstream) bool
}

// ChoosyFilter is a Filter whose answer depends on more of the request. It may
// let a request wait although an upstream is free, but for a bounded time.
type ChoosyFilter interface {
	Filter
	Choosy()
}

// Scorer says what it costs to run a request on an upstream, on a scale where
// 1 is one slot's worth of waiting. Lower is better.
type Scorer interface {
	Score(now time.Time, r *Request, u *Upstream) float64
}

// Exhaustive is implemented by scorers that want to see every upstream. With
// one in the chain, Pick does not narrow the candidates.
type Exhaustive interface {
	ScoreAll()
}

// StartObserver is implemented by scorers that count what is
// started. Entries is the number of live entries.
type StartObserver interface {
	Started(now time.Time, r *Request, u *Upstream, entries int)
}
