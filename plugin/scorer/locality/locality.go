package locality

import (
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

// Defaults of the options.
const (
	defaultOtherZone   = 0.05
	defaultOtherRegion = 2.0
	defaultOverBudget  = 20.0
	defaultLink        = api.ByteSize(1 << 20)
	defaultAnswer      = api.ByteSize(64 << 10)
	// burst is how many requests an entry may save up.
	burst = 4
)

// Scorer prefers upstreams near the entry. Traffic between regions goes over a
// slow link that is paid by volume, so it has a budget: each entry may use its
// even part of Link, without asking the others. Once that is used up, another
// region is taken only if the own one has no free upstream.
type Scorer struct {
	// OtherZone is the score of another zone of the region. Default 0.05.
	OtherZone float64 `yaml:"other_zone"`
	// OtherRegion is the score of another region within the budget. Default 2.
	OtherRegion float64 `yaml:"other_region"`
	// OverBudget is the score of another region beyond it. Default 20.
	OverBudget float64 `yaml:"over_budget"`
	// Link is what the fleet's requests may use of the link between regions,
	// in bytes a second. Default 1MiB, a quarter of 30 Mb/s.
	Link api.ByteSize `yaml:"link"`
	// Answer is what one request is taken to send between regions, in bytes.
	// Default 64KiB.
	Answer api.ByteSize `yaml:"answer"`

	used    float64 // bytes that the budget has not made good yet
	updated time.Time
	entries int
}

// Score implements route.Scorer.
func (s *Scorer) Score(now time.Time, r *route.Request, u *route.Upstream) float64 {
	switch {
	case u.Spec.Region != r.Region:
		if s.usedAt(now)+float64(s.Answer) > burst*float64(s.Answer) {
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
	s.used = s.usedAt(now) + float64(s.Answer)
	s.updated = now
	s.entries = entries
}

// usedAt returns the bytes that are not made good at a time.
func (s *Scorer) usedAt(now time.Time) float64 {
	rate := float64(s.Link) / float64(max(s.entries, 1))
	return max(s.used-now.Sub(s.updated).Seconds()*rate, 0)
}
