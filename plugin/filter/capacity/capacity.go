package capacity

import (
	"math"
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

const defaultReserved = 0.125

// Filter excludes upstreams without a free slot, so that requests wait in the entry's
// queue, which serves more urgent ones first. A share of the slots is reserved for
// urgent requests.
type Filter struct {
	// Reserved is the share of an upstream's slots, 0 or more and less than
	// 1, that only urgent requests may use. It is rounded up to whole slots,
	// but at least one slot remains available to all requests. Default 0.125.
	Reserved float64 `yaml:"reserved"`
}

// Keep implements route.Filter.
func (f *Filter) Keep(_ time.Time, r *route.Request, u *route.Upstream) bool {
	limit := u.Slots()
	if r.Class != api.ClassUrgent {
		reserved := int(math.Ceil(f.Reserved * float64(limit)))
		limit = max(limit-reserved, 1)
	}
	return u.Busy() < limit
}
