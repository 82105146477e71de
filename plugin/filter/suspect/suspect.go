package suspect

import (
	"slices"
	"time"

	"jaylink/decision/route"
)

// Filter keeps a request off the upstreams that already failed it and off
// those whose calls have been failing, until their pause is over. It has no
// options.
type Filter struct{}

// Keep implements route.Filter.
func (*Filter) Keep(now time.Time, r *route.Request, u *route.Upstream) bool {
	if now.Before(u.SuspectUntil) {
		return false
	}
	return !slices.Contains(r.Tried, u.Name)
}
