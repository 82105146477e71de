package isolate

import (
	"time"

	"jaylink/decision/route"
)

// Filter excludes, for a request that was running on an upstream when it crashed,
// upstreams that run another such request of this entry. If an upstream crashes
// again, at most one of these requests can be the cause. It has no options.
type Filter struct{}

// Keep implements route.Filter.
func (*Filter) Keep(_ time.Time, r *route.Request, u *route.Upstream) bool {
	return !r.Suspect || u.Suspects == 0
}
