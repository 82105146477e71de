// Package scaling decides how many upstreams to order for a service in each
// availability zone. It does no I/O and reads no clock: callers pass the time.
//
// Demand is measured in upstreams with all slots in use; a slot is the capacity for
// one concurrent request. Demand is derived from the number of requests that all
// entries, the processes that accept requests from callers, have on upstreams, or
// from the prompts that remain to be processed (prefilled) there if that gives a
// higher value. It grows with the traffic and with the latency of the upstreams, so
// it rises before callers have to wait.
//
// On-demand upstreams can carry the demand alone. Spot upstreams, which cost a
// fraction but can be reclaimed by the provider, add the headroom that keeps queues
// short. They are spread over the availability zones so that one reclaim takes only
// part of them.
//
// The rules are designed for these load patterns: slow waves, bursts that double the
// traffic for a few seconds, the reclaim of all spot upstreams of a zone, and a start
// of the whole fleet without measurements.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jaylink/serving"
)

const (
	// maxUtilizationAfterReclaim is the highest acceptable utilization of the
	// on-demand upstreams once all spot upstreams have been reclaimed.
	maxUtilizationAfterReclaim = 0.7
	// onDemandOnlyUtilization is the target utilization of the on-demand upstreams if
	// there are no spot upstreams.
	onDemandOnlyUtilization = 0.3
	// totalUtilization is the target utilization of on-demand and spot upstreams
	// together.
	totalUtilization = 0.15
	// prefillShare is the share of the latency objective for the first event of an
	// answer within which an upstream has to process the prompts that it has. The
	// rest is left for network latency and random variation.
	prefillShare = 0.4
	// smoothingFactor is the weight of the latest one-second sample in the
	// exponential moving average of the demand.
	smoothingFactor = 0.4
	// demandWindow is the number of one-second samples whose highest demand the
	// upstreams are kept for, because that demand may recur.
	demandWindow = 10
	// warmupTime is how long demand is measured before the first scale-down, because
	// callers return gradually after the fleet has started.
	warmupTime = 6 * time.Second
	// scaleDownShare is the largest share of a zone's on-demand upstreams to give
	// back in one step, and scaleDownInterval the time between two steps. If the
	// demand returns, replacing an upstream takes the whole boot time.
	scaleDownShare    = 1.0 / 3
	scaleDownInterval = 2 * time.Second
	// reclaimCooldown is how long after a reclaim no upstream is given back. Reclaims
	// come in waves, 2.4 to 3.6 s apart in recorded traffic, and replacements take
	// the boot time to arrive.
	reclaimCooldown = 8 * time.Second
	// maxScaleUpShare bounds one scale-up as a share of the existing upstreams.
	// The next one has to wait for the boot time plus bootSlack.
	maxScaleUpShare = 0.4
	bootSlack       = time.Second
	// resendInterval is the time after which an order is sent again in case it was
	// lost.
	resendInterval = 5 * time.Second
	// spotRetryDelay is how long no spot upstreams are ordered in a zone after it had
	// none available.
	spotRetryDelay = 4 * time.Second
	// idleDemand is the demand below which the service counts as idle and nothing is
	// ordered.
	idleDemand = 0.05
)

// Zone is the state of a service in one availability zone.
type Zone struct {
	Name string
	// Price is the price of an on-demand upstream per second.
	Price float64
	// OnDemand and Spot are the numbers of upstreams that currently take requests.
	OnDemand, Spot int
	// Limited is the number of on-demand upstreams that the limits stated by upstreams
	// make up for: two upstreams that take half of their usual requests count as one.
	Limited int
	// Share is the share of the service's callers that connect in this zone.
	Share float64
}

// Input is the state of a service that Step bases its decision on.
type Input struct {
	Scaling *serving.Scaling
	Zones   []Zone
}

// Order sets the number of spot or on-demand upstreams in a zone. Count is the total
// number wanted, not the difference from the present one.
type Order struct {
	Zone  string
	Spot  bool
	Count int
}

type orderKey struct {
	zone string
	spot bool
}

type acceptedOrder struct {
	count int
	at    time.Time
}

// Scaler is the scaling state of one service. It is not safe for concurrent use.
type Scaler struct {
	// demandSince is when the demand last rose to idleDemand; zero while it is lower.
	demandSince time.Time
	// smoothedDemand is the moving average of the demand, and recentDemand a ring
	// buffer of its latest values. samples counts the calls of Observe.
	smoothedDemand float64
	recentDemand   [demandWindow]float64
	samples        int
	// latestWork is the latest forecast of the work, or 0 if it is not forecast, and work a
	// ring buffer of the latest values. recentSlots holds the latest
	// numbers of upstreams whose slots would all be in use.
	latestWork  float64
	work        [demandWindow]float64
	recentSlots [demandWindow]float64
	// scaleUpTarget is the number of on-demand upstreams that the last scale-up
	// ordered, at scaledUpAt.
	scaleUpTarget int
	scaledUpAt    time.Time
	// lastSpot is the number of spot upstreams in the previous step. lostSpot is the
	// number that recently disappeared and that no scale-up has replaced yet, and
	// lostSpotAt the time of the latest loss.
	lastSpot, lostSpot int
	lostSpotAt         time.Time
	// lastZoneSpot is the number of spot upstreams of each zone in the previous step.
	// reclaimedAt is when some of them last disappeared without having been given
	// back.
	lastZoneSpot map[string]int
	reclaimedAt  time.Time
	// acceptedSpot is the count of the last accepted spot order of each zone.
	acceptedSpot map[string]int
	// scaledDownAt is when on-demand upstreams were last given back.
	scaledDownAt time.Time
	// orders holds the last accepted order of each zone and kind.
	orders map[orderKey]acceptedOrder
	// spotUnavailableAt is when a zone last had no spot upstreams available.
	spotUnavailableAt map[string]time.Time
}

// NewScaler returns a Scaler without measurements or orders.
func NewScaler() *Scaler {
	return &Scaler{orders: map[orderKey]acceptedOrder{}, spotUnavailableAt: map[string]time.Time{}, lastZoneSpot: map[string]int{}, acceptedSpot: map[string]int{}}
}

// Demand returns the smoothed demand, in upstreams with all slots in use.
func (s *Scaler) Demand() float64 { return s.smoothedDemand }

// Work returns the latest forecast of the work, in busy upstreams, or 0 if it is not forecast.
func (s *Scaler) Work() float64 { return s.latestWork }

// Reset clears the orders, which is needed when this entry takes over the scaling
// from another one. The measured demand is kept.
func (s *Scaler) Reset() {
	clear(s.orders)
	clear(s.spotUnavailableAt)
	clear(s.acceptedSpot)
}

// SpotUnavailable records that a zone has no spot upstreams available.
func (s *Scaler) SpotUnavailable(now time.Time, zone string) {
	s.spotUnavailableAt[zone] = now
	delete(s.orders, orderKey{zone, true})
}

// Load is the current load on the upstreams of a service.
type Load struct {
	// Running is the number of requests on all upstreams. Slots is the number that
	// one upstream runs concurrently.
	Running, Slots int
	// PrefillTime is the time that a single upstream would take to process (prefill) all
	// prompts that wait for other prompts. It is needed because an engine with many
	// slots is saturated long before all of them are in use.
	PrefillTime time.Duration
	// Objective is the lowest objective for the latency from the arrival of a request
	// to the first event of its answer, or 0 if there is none.
	Objective time.Duration
	// Work is the forecast number of upstreams that the arriving requests keep busy, or 0
	// if it is not forecast.
	Work float64
}

// demand returns the demand in upstreams with all slots in use.
func (l Load) demand() float64 {
	demand := float64(l.Running) / float64(max(l.Slots, 1))
	if l.Objective > 0 {
		demand = max(demand, onDemandOnlyUtilization*float64(l.PrefillTime)/(prefillShare*float64(l.Objective)))
	}
	return demand
}

// Observe adds a sample of the load to the measured demand. Every entry calls it once
// a second, including those that send no orders, so that an entry that takes over the
// scaling knows the recent demand.
func (s *Scaler) Observe(now time.Time, l Load) {
	s.smoothedDemand += smoothingFactor * (l.demand() - s.smoothedDemand)
	s.recentDemand[s.samples%demandWindow] = s.smoothedDemand
	s.recentSlots[s.samples%demandWindow] = float64(l.Running) / float64(max(l.Slots, 1))
	s.observeWork(l)
	s.samples++
	switch {
	case s.smoothedDemand < idleDemand:
		s.demandSince = time.Time{}
	case s.demandSince.IsZero():
		s.demandSince = now
	}
}

// Step returns the orders to send now. There are none while the service is idle.
func (s *Scaler) Step(now time.Time, in Input) []Order {
	if s.demandSince.IsZero() {
		return nil
	}
	s.detectReclaims(now, in)
	usable := in.withoutLimited()
	plan := s.planFor(now, usable)
	s.limitScaleDown(now, plan, usable)
	in.addLimited(plan)
	return s.ordersToSend(now, plan)
}

// planFor returns the wanted number of upstreams by the forecast work, or by the demand
// if the work is not forecast.
func (s *Scaler) planFor(now time.Time, in Input) []Order {
	if s.latestWork > 0 {
		return s.planWork(now, in)
	}
	return s.plan(now, in)
}

// withoutLimited returns the input without the upstreams that limits make up for.
func (in Input) withoutLimited() Input {
	in.Zones = slices.Clone(in.Zones)
	for i := range in.Zones {
		z := &in.Zones[i]
		z.Limited = min(z.Limited, z.OnDemand)
		z.OnDemand -= z.Limited
	}
	return in
}

// addLimited adds the upstreams that limits make up for to the orders of a plan, which
// are total numbers.
func (in Input) addLimited(plan []Order) {
	for i := range plan {
		for _, z := range in.Zones {
			if o := &plan[i]; z.Name == o.Zone && !o.Spot {
				o.Count = min(o.Count+min(z.Limited, z.OnDemand), max(in.Scaling.Max, o.Count))
			}
		}
	}
}

// detectReclaims detects the loss of spot upstreams that are still ordered. If this
// entry has no accepted order for a zone, another entry may have ordered them, and
// every loss counts as a reclaim.
func (s *Scaler) detectReclaims(now time.Time, in Input) {
	for _, z := range in.Zones {
		ordered, known := s.acceptedSpot[z.Name]
		if z.Spot < s.lastZoneSpot[z.Name] && (!known || z.Spot < ordered) {
			s.reclaimedAt = now
		}
		s.lastZoneSpot[z.Name] = z.Spot
	}
}

func onDemandIn(in Input, zone string) int {
	for _, z := range in.Zones {
		if z.Name == zone {
			return z.OnDemand
		}
	}
	return 0
}

// spotObtainable reports whether spot upstreams exist and may be had in a zone now.
func (s *Scaler) spotObtainable(now time.Time, in Input, z Zone) bool {
	return in.Scaling.SpotPrice > 0 && now.Sub(s.spotUnavailableAt[z.Name]) >= spotRetryDelay
}

// plan returns the wanted number of upstreams for each zone and kind.
func (s *Scaler) plan(now time.Time, in Input) []Order {
	spot, spotZones := 0, 0
	for _, z := range in.Zones {
		spot += z.Spot
		if s.spotObtainable(now, in, z) {
			spotZones++
		}
	}
	onDemand := distribute(in, s.onDemandTarget(now, in, spot))
	spotNeeded := upstreamsFor(slices.Max(s.recentDemand[:]), totalUtilization)
	var plan []Order
	for _, z := range in.Zones {
		plan = append(plan, Order{Zone: z.Name, Count: onDemand[z.Name]})
		spotNeeded -= onDemand[z.Name]
	}
	if spotZones == 0 {
		return plan
	}
	perZone := (max(spotNeeded, 0) + spotZones - 1) / spotZones
	for _, z := range in.Zones {
		if s.spotObtainable(now, in, z) {
			room := max(in.Scaling.Max-onDemand[z.Name], 0)
			plan = append(plan, Order{Zone: z.Name, Spot: true, Count: min(perZone, room)})
		}
	}
	return plan
}

// onDemandTarget returns the wanted number of on-demand upstreams. It rises with the
// current demand, and falls no lower than the highest demand within demandWindow
// requires. Requests accumulate while new upstreams boot and inflate the demand, so a
// scale-up has to arrive before the next one starts. The exception is the loss of all
// spot upstreams, which are replaced immediately.
func (s *Scaler) onDemandTarget(now time.Time, in Input, spot int) int {
	current := 0
	for _, z := range in.Zones {
		current += z.OnDemand
	}
	lower, upper := onDemandFor(s.smoothedDemand, spot), onDemandFor(slices.Max(s.recentDemand[:]), spot)
	total := min(max(current, lower), max(upper, lower))
	s.trackLostSpot(now, spot, in.Scaling.Boot+bootSlack)
	lost := 0
	if spot == 0 {
		// Any remaining spot upstreams carry the load until the scale-up arrives.
		lost = s.lostSpot
	}
	if now.Sub(s.scaledUpAt) < in.Scaling.Boot+bootSlack {
		if total > s.scaleUpTarget {
			total = min(total, s.scaleUpTarget+lost)
			s.lostSpot = max(s.lostSpot-total+s.scaleUpTarget, 0)
			s.scaleUpTarget = total
		}
		return s.scaleUpTarget
	}
	if total > current {
		total = min(total, current+1+int(maxScaleUpShare*float64(current))+lost)
		s.scaleUpTarget, s.scaledUpAt, s.lostSpot = total, now, 0
	}
	return total
}

// trackLostSpot updates the number of lost spot upstreams. Losses no longer count
// once the latest one is older than expiry.
func (s *Scaler) trackLostSpot(now time.Time, spot int, expiry time.Duration) {
	switch {
	case spot < s.lastSpot:
		s.lostSpotAt = now
	case now.Sub(s.lostSpotAt) > expiry:
		s.lostSpot = 0
	}
	s.lostSpot = max(s.lostSpot+s.lastSpot-spot, 0)
	s.lastSpot = spot
}

// onDemandFor returns the number of on-demand upstreams that a demand requires in
// addition to a number of spot upstreams.
func onDemandFor(demand float64, spot int) int {
	return max(upstreamsFor(demand, maxUtilizationAfterReclaim), upstreamsFor(demand, onDemandOnlyUtilization)-spot)
}

// upstreamsFor returns the number of upstreams that carry a demand at a utilization.
func upstreamsFor(demand, use float64) int { return int(math.Ceil(demand / use)) }

// distribute distributes a number of upstreams over the zones: each gets the configured
// minimum, and the rest is assigned in proportion to the zones' shares of callers.
// Ties go to the cheaper zone.
func distribute(in Input, total int) map[string]int {
	out := make(map[string]int, len(in.Zones))
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	remaining := total
	for _, z := range zones {
		out[z.Name] = in.Scaling.Min
		remaining -= in.Scaling.Min
	}
	for ; remaining > 0; remaining-- {
		best, shortfall := "", 0.0
		for _, z := range zones {
			if out[z.Name] >= in.Scaling.Max {
				continue
			}
			zoneShortfall := z.Share*float64(total) - float64(out[z.Name])
			if best == "" || zoneShortfall > shortfall+1e-9 {
				best, shortfall = z.Name, zoneShortfall
			}
		}
		if best == "" {
			break
		}
		out[best]++
	}
	return out
}

// ordersToSend returns the orders of a plan that differ from the last accepted ones
// or that are due to be sent again.
func (s *Scaler) ordersToSend(now time.Time, plan []Order) []Order {
	var out []Order
	for _, o := range plan {
		k := orderKey{o.Zone, o.Spot}
		last, ok := s.orders[k]
		if ok && last.count == o.Count && now.Sub(last.at) < resendInterval {
			continue
		}
		out = append(out, o)
	}
	return out
}

// OrderAccepted records that an order was sent and accepted.
func (s *Scaler) OrderAccepted(now time.Time, o Order) {
	s.orders[orderKey{o.Zone, o.Spot}] = acceptedOrder{o.Count, now}
	if o.Spot {
		s.acceptedSpot[o.Zone] = o.Count
	}
}
