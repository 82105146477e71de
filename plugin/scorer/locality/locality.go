package locality

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

// Defaults of the options.
const (
	defaultOtherZone    = 0.05
	defaultOtherRegion  = 2.0
	defaultOverBudget   = 20.0
	defaultLinkRate     = api.ByteSize(1 << 20)
	defaultRequestBytes = api.ByteSize(64 << 10)
	// burstRequests is the number of requests for which an entry can accumulate
	// unused budget.
	burstRequests = 4
)

// Scorer prefers upstreams near the entry. Traffic between regions uses a slow link
// that is billed by volume, so it has a budget: each entry may use its even share of
// LinkRate without coordination with the others. Once that is used up, another region
// is chosen only if the entry's own region has no free upstream.
type Scorer struct {
	// OtherZone is the score of upstreams in another zone of the region. Default
	// 0.05.
	OtherZone float64 `yaml:"other_zone"`
	// OtherRegion is the score of upstreams in another region within the budget.
	// Default 2.
	OtherRegion float64 `yaml:"other_region"`
	// OverBudget is the same once the budget is used up. Default 20.
	OverBudget float64 `yaml:"over_budget"`
	// LinkRate is the bandwidth of the link between regions that the fleet's
	// requests may use, in bytes per second. Default 1MiB, a quarter of 30 Mb/s.
	LinkRate api.ByteSize `yaml:"link"`
	// RequestBytes is the number of bytes that one request is assumed to
	// transfer between regions. Default 64KiB.
	RequestBytes api.ByteSize `yaml:"answer"`

	pendingBytes float64 // bytes sent that the budget does not cover yet
	updated      time.Time
	entries      int
}

// Score implements route.Scorer.
func (s *Scorer) Score(now time.Time, r *route.Request, u *route.Upstream) float64 {
	switch {
	case u.Spec.Region != r.Region:
		if s.pendingBytesAt(now)+float64(s.RequestBytes) > burstRequests*float64(s.RequestBytes) {
			return s.OverBudget
		}
		return s.OtherRegion
	case u.Spec.AvailabilityZone != r.Zone:
		return s.OtherZone
	}
	return 0
}

// Started implements route.StartObserver.
func (s *Scorer) Started(now time.Time, r *route.Request, u *route.Upstream, entries int) {
	if u.Spec.Region == r.Region {
		return
	}
	s.pendingBytes = s.pendingBytesAt(now) + float64(s.RequestBytes)
	s.updated = now
	s.entries = entries
}

// pendingBytesAt returns the value of pendingBytes at a later time.
func (s *Scorer) pendingBytesAt(now time.Time) float64 {
	rate := float64(s.LinkRate) / float64(max(s.entries, 1))
	return max(s.pendingBytes-now.Sub(s.updated).Seconds()*rate, 0)
}
