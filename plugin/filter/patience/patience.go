package patience

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

const (
	defaultWait     = api.Duration(5 * time.Second)
	defaultMaxPrice = 1.0
	// waitShare bounds the wait by a share of the time to the deadline.
	waitShare = 20
)

// Filter lets patient requests wait a short time for cheap capacity that has
// the start of their prompt in memory, before they take any upstream that is
// free. Requests of the other classes and attempts after a failure never wait.
type Filter struct {
	// Wait bounds the wait. It is never more than a twentieth of the time
	// from acceptance to the deadline. Default 5s.
	Wait api.Duration `yaml:"wait"`
	// MaxPrice is the price of a slot, where 1 is the mean of all upstreams
	// of the protocol, up to which an upstream counts as cheap. Default 1.
	MaxPrice float64 `yaml:"max_price"`
}

// Keep implements route.Filter.
func (f *Filter) Keep(now time.Time, r *route.Request, u *route.Upstream) bool {
	if r.Class != api.ClassPatient || len(r.Tried) > 0 {
		return true
	}
	wait := min(f.Wait.Std(), r.Deadline.Sub(r.Accepted)/waitShare)
	if now.Sub(r.Accepted) >= wait {
		return true
	}
	if u.RelativePrice > f.MaxPrice {
		return false
	}
	return r.Prefix == 0 || u.Holds(r.Prefix) || u.Affinity == route.AffinityFirst
}

// Choosy implements route.ChoosyFilter.
func (*Filter) Choosy() {}
