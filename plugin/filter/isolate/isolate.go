package isolate

import (
	"time"

	"jaylink/decision/route"
)

// Filter keeps a request that took part in an upstream's crash off upstreams
// that run another such request of this entry. If the upstream crashes again,
// only one request is to blame. It has no options.
type Filter struct{}

// Keep implements route.Filter.
func (*Filter) Keep(_ time.Time, r *route.Request, u *route.Upstream) bool {
	return !r.Suspect || u.Suspects == 0
}
