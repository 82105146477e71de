package patience

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

const (
	defaultWait     = api.Duration(5 * time.Second)
	defaultMaxPrice = 1.0
	// waitDivisor limits the wait to the time from acceptance to the deadline
	// divided by it.
	waitDivisor = 20
)

// Filter makes patient requests wait a short time for a cheap upstream that has the
// start of their prompt in its cache, or that the prefix is assigned to. After that
// they use any free upstream. Requests of the other classes and retries never wait.
type Filter struct {
	// Wait is the maximum wait. The wait is also never more than a twentieth of
	// the time from acceptance to the deadline. Default 5s.
	Wait api.Duration `yaml:"wait"`
	// MaxPrice is the price of a slot up to which an upstream counts as cheap,
	// relative to the mean of all upstreams of the protocol, which is 1.
	// Default 1.
	MaxPrice float64 `yaml:"max_price"`
}

// Keep implements route.Filter.
func (f *Filter) Keep(now time.Time, r *route.Request, u *route.Upstream) bool {
	if r.Class != api.ClassPatient || len(r.Tried) > 0 {
		return true
	}
	wait := min(f.Wait.Std(), r.Deadline.Sub(r.Accepted)/waitDivisor)
	if now.Sub(r.Accepted) >= wait {
		return true
	}
	if u.RelativePrice > f.MaxPrice {
		return false
	}
	return r.Prefix == 0 || u.Holds(r.Prefix) || u.Affinity == route.AffinityFirst
}

// MayDefer implements route.DeferringFilter.
func (*Filter) MayDefer() {}
