package placement

import (
	"math"
	"time"
)

// reportLifetime is how long an upstream's report of its number of requests is used.
const reportLifetime = 300 * time.Millisecond

// running returns the number of requests on the upstream: the total over all entries,
// or the number that the upstream itself reported if that is recent and higher.
func (s *upstreamState) running(now time.Time) int {
	known := s.ownLoad.Running + s.peerLoad.Running
	if now.Sub(s.reportedAt) > reportLifetime {
		return known
	}
	return max(known, s.reported)
}

// predictWaitMs predicts the time in milliseconds until the first event or, on plain
// services, until a slot is free.
func (s *upstreamState) predictWaitMs(now time.Time, r *Request, load Load, est *speedEstimate) float64 {
	running := s.running(now)
	slots := s.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	slow := s.slow.factor(now)
	queued := float64(max(running+1-slots, 0))
	wait := slow * queued * est.slotMs / float64(slots)
	if r.Prompt == nil {
		return wait + slow*float64(running)/float64(slots)*runningCost
	}
	wait += slow * (est.baseMs + float64(s.remainingUnread(now)+s.peerLoad.PrefillTokens+load.PrefillTokens)/est.tokensPerMs + float64(running)*runningCost)
	if e := r.Service.Engine; e != nil && e.CacheTokens > 0 {
		over := float64(s.ownLoad.Memory+s.peerLoad.Memory+load.Memory) - memoryThreshold*float64(e.CacheTokens)
		if over > 0 {
			wait += est.slotMs * math.Min(over/float64(load.Memory+1), 1)
		}
	}
	return wait
}

// networkCost returns the cost of reaching an upstream from an availability zone.
func (t *Table) networkCost(zone string, s *upstreamState) float64 {
	switch {
	case s.Zone == zone:
		return 0
	case s.region == t.regions[zone]:
		return crossZoneCost
	}
	return crossRegionCost
}

// decayedFailureRate returns the failure rate, from 0 to 1, after decay up to now.
func (s *upstreamState) decayedFailureRate(now time.Time) float64 {
	if s.failureRate < 0.01 {
		return 0
	}
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}
