package suspect

import (
	"slices"
	"time"

	"jaylink/decision/route"
)

// Filter excludes upstreams on which an attempt of the request has failed, and
// upstreams whose calls have been failing, until their backoff has expired. It has no
// options.
type Filter struct{}

// Keep implements route.Filter.
func (*Filter) Keep(now time.Time, r *route.Request, u *route.Upstream) bool {
	if now.Before(u.SuspectUntil) {
		return false
	}
	return !slices.Contains(r.Tried, u.Name)
}
