package leaving

import (
	"time"

	"jaylink/decision/route"
)

// Filter keeps new work off upstreams that are leaving. It has no options.
type Filter struct{}

// Keep implements route.Filter.
func (*Filter) Keep(_ time.Time, _ *route.Request, u *route.Upstream) bool { return !u.Leaving }
