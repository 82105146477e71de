package leaving

import (
	"time"

	"jaylink/decision/route"
)

// Filter excludes upstreams that are leaving, so that they get no new requests. It has
// no options.
type Filter struct{}

// Keep implements route.Filter.
func (*Filter) Keep(_ time.Time, _ *route.Request, u *route.Upstream) bool { return !u.Leaving }
