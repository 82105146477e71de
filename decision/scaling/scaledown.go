package scaling

import (
	"math"
	"time"
)

// limitScaleDown raises the counts in a plan so that on-demand upstreams are given
// back in steps.
func (s *Scaler) limitScaleDown(now time.Time, plan []Order, in Input) {
	allowed := s.mayScaleDown(now)
	for i := range plan {
		o := &plan[i]
		if o.Spot {
			o.Count = s.limitSpotScaleDown(now, *o, in)
			continue
		}
		current := onDemandIn(in, o.Zone)
		if o.Count >= current {
			continue
		}
		if !allowed {
			o.Count = current
			continue
		}
		o.Count = max(o.Count, current-int(math.Ceil(scaleDownShare*float64(current))))
		s.scaledDownAt = now
	}
}

// limitSpotScaleDown returns the count of an order of spot upstreams, raised to those that are there
// until the demand of a whole window is known. Entries that have just restarted know only a
// part of the demand, and the speed of the engines not at all.
func (s *Scaler) limitSpotScaleDown(now time.Time, o Order, in Input) int {
	if now.Sub(s.demandSince) >= demandWindow*time.Second {
		return o.Count
	}
	for _, z := range in.Zones {
		if z.Name == o.Zone {
			return min(max(o.Count, z.Spot), max(in.Scaling.Max-z.OnDemand, o.Count))
		}
	}
	return o.Count
}

// mayScaleDown reports whether on-demand upstreams may be given back now.
func (s *Scaler) mayScaleDown(now time.Time) bool {
	if now.Sub(s.scaledDownAt) < scaleDownInterval {
		return false
	}
	if s.latestWork > 0 {
		// The plan keeps what reclaims may take.
		return now.Sub(s.demandSince) >= workWarmupTime
	}
	return now.Sub(s.demandSince) >= warmupTime && now.Sub(s.reclaimedAt) >= reclaimCooldown
}
