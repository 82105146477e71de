package scaling

import (
	"math"
	"slices"
	"time"

	"jaylink/serving"
)

// Utilizations for services whose work is forecast. Work is the number of upstreams that
// the arriving requests keep busy, independent of how long they wait there, so that a
// backlog does not inflate it.
const (
	// workUtilization is the target utilization of all upstreams by the forecast work.
	// The time that a prompt waits for others grows with use / (1 - use).
	workUtilization = 0.38
	// workUtilizationAfterReclaim is the highest utilization that callers accept while the
	// upstreams of reclaimed zones are being replaced.
	workUtilizationAfterReclaim = 0.5
	// slotUtilization is the target utilization of the slots of such services.
	slotUtilization = 0.25
	// slotDemandShare bounds what the use of slots adds to the forecast work. Requests
	// that wait for other prompts hold slots, and more upstreams than the work needs only
	// arrive when the backlog is gone.
	slotDemandShare = 1.5
	// survivedReclaims is the number of zones whose spot upstreams may be reclaimed at
	// once without replacement.
	survivedReclaims = 2
	// workWarmupTime is how long the work is forecast before the first scale-down, so that
	// spot upstreams have booted and the forecasts of a whole window are known.
	workWarmupTime = demandWindow * time.Second
	// maxWorkScaleUp bounds one scale-up as a factor of the existing upstreams.
	maxWorkScaleUp = 2
)

const (
	// manySlots is the number of slots from which on an engine is busy with the prompts of
	// its requests long before its slots are in use, so that these do not tell the work.
	manySlots = 48
	// manyZones is the number of zones from which on upstreams for survivedReclaims cost
	// little. With three zones of a recorded deployment (emace-jaylink) they cost callers'
	// worth .04 more than they saved.
	manyZones = 5
)

// UsesForecast reports whether the orders for a service follow the forecast work: if its engines
// report how long work takes, or have many slots, and it is scaled in many zones.
func UsesForecast(s *serving.Service, reportsSlowdown bool) bool {
	if s.Scaling == nil || len(s.Scaling.ZonePrices) < manyZones {
		return false
	}
	return reportsSlowdown || s.Engine != nil && s.Engine.Slots >= manySlots
}

// observeWork adds a sample of the forecast work.
func (s *Scaler) observeWork(l Load) {
	if l.Work <= 0 {
		s.work = [demandWindow]float64{}
		s.latestWork = 0
		return
	}
	s.latestWork = l.Work
	s.work[s.samples%demandWindow] = l.Work
}

// needed returns the number of upstreams with which the recent work has the target
// utilization, by the forecast and by the slots in use.
func (s *Scaler) needed() int {
	work := slices.Max(s.work[:])
	bySlots := slices.Max(s.recentSlots[:]) * workUtilization / slotUtilization
	return upstreamsFor(max(work, min(bySlots, slotDemandShare*work)), workUtilization)
}

// planWork returns the wanted number of upstreams for each zone and kind at the lowest
// price, such that all of them have the target utilization, and that those which remain
// after the reclaim of the largest spot zones can carry the work.
func (s *Scaler) planWork(now time.Time, in Input) []Order {
	need := min(s.needed(), in.Scaling.Max*len(in.Zones))
	survive := int(math.Ceil(float64(need) * workUtilization / workUtilizationAfterReclaim))
	var present []int
	onDemandNow, spotNow, obtainable := 0, 0, 0
	for _, z := range in.Zones {
		present = append(present, z.Spot)
		spotNow += z.Spot
		onDemandNow += z.OnDemand
		if s.spotObtainable(now, in, z) {
			obtainable++
		}
	}
	perZone := cheapestSpot(in, obtainable, need, survive)
	// Spot upstreams count only once they are there. On-demand upstreams are ordered for what
	// remains after reclaims, and are kept until spot upstreams have taken over the rest.
	slices.SortFunc(present, func(a, b int) int { return b - a })
	remaining := spotNow
	for i := range min(survivedReclaims, len(present)) {
		remaining -= present[i]
	}
	total := max(survive-remaining, min(onDemandNow, need-spotNow), 0)
	if total > onDemandNow {
		total = min(total, onDemandNow+int(math.Ceil((maxWorkScaleUp-1)*float64(onDemandNow+spotNow))))
	}
	onDemand := distribute(in, total)
	var plan []Order
	for _, z := range in.Zones {
		plan = append(plan, Order{Zone: z.Name, Count: onDemand[z.Name]})
	}
	for _, z := range in.Zones {
		if s.spotObtainable(now, in, z) {
			plan = append(plan, Order{Zone: z.Name, Spot: true, Count: min(perZone, max(in.Scaling.Max-onDemand[z.Name], 0))})
		}
	}
	return plan
}

// cheapestSpot returns the number of spot upstreams in each of a number of zones with which
// the service costs least.
func cheapestSpot(in Input, zones, need, survive int) int {
	best, bestCost := 0, math.Inf(1)
	for perZone := 0; perZone <= in.Scaling.Max; perZone++ {
		spot := perZone * zones
		remaining := perZone * max(zones-survivedReclaims, 0)
		onDemand := max(need-spot, survive-remaining, in.Scaling.Min*len(in.Zones))
		if spot+onDemand > in.Scaling.Max*len(in.Zones) {
			break
		}
		if cost := float64(onDemand) + in.Scaling.SpotPrice*float64(spot); cost < bestCost {
			best, bestCost = perZone, cost
		}
	}
	return best
}
