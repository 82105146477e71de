// Package scaling decides how many upstreams to order for a service in each
// availability zone. It is pure: times are the caller's.
//
// The demand is the number of requests that all entries have on upstreams, in
// units of one upstream with all slots in use, or what the prompts to be read there
// ask for if that is more. It grows with the traffic and with how slow upstreams get,
// so it rises before callers wait. On-demand upstreams
// carry the demand alone; reclaimable ones, which cost a fraction, give the headroom that
// keeps waiting short, spread over the availability zones so that a reclaim
// takes one part of it. Load patterns answered: slow waves, bursts that double
// the traffic for seconds, a zone whose reclaimable upstreams are all taken away,
// and a start of the whole fleet with nothing measured yet.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jaylink/serving"
)

const (
	// baseUse is how busy on-demand upstreams may be once the reclaimable ones
	// are taken away.
	baseUse = 0.7
	// soloUse is how busy on-demand upstreams are to be if there are no
	// reclaimable ones, and fullUse how busy all are to be together.
	soloUse = 0.3
	fullUse = 0.15
	// readPart is the part of the objective for a first event within which upstreams
	// are to read the prompts that they have; the rest is for the way and for chance.
	readPart = 0.4
	// smoothing is the weight of the newest second in the demand.
	smoothing = 0.4
	// memory is for how many seconds a demand counts as possible again.
	memory = 10
	// measureTime is how long demand is measured before anything is given back:
	// after a start callers come back by and by.
	measureTime = 6 * time.Second
	// giveBackPart is the part of a zone's upstreams that is given back at once,
	// and giveBackTime the time between two such steps: what is given back is
	// missing for the whole boot time if the demand returns.
	giveBackPart = 1.0 / 3
	giveBackTime = 2 * time.Second
	// waveTime is how long after a reclaim nothing is given back: reclaims come in
	// waves, 2.4 to 3.6 s apart on the recorded days, and what is ordered in their
	// place takes the boot time.
	waveTime = 8 * time.Second
	// riseFactor bounds one rise, as a part of what there is; riseSlack is added
	// to the boot time before the next.
	riseFactor = 0.4
	riseSlack  = time.Second
	// repeatTime is when an order is sent again, in case it was lost.
	repeatTime = 5 * time.Second
	// dryTime is how long a zone is not asked again for reclaimable upstreams
	// after it had none.
	dryTime = 4 * time.Second
	// idleDemand is the demand below which there is nothing to measure.
	idleDemand = 0.05
)

// Zone is an availability zone as the scaler sees it.
type Zone struct {
	Name string
	// Price is that of an on-demand upstream per second.
	Price float64
	// OnDemand and Spot are the upstreams there now that take requests.
	OnDemand, Spot int
	// Share is the part of the service's callers that enter here.
	Share float64
}

// Input is what is known about a service.
type Input struct {
	Scaling *serving.Scaling
	Zones   []Zone
}

// Order asks for a number of upstreams.
type Order struct {
	Zone  string
	Spot  bool
	Count int
}

type key struct {
	zone string
	spot bool
}

type ordered struct {
	count int
	at    time.Time
}

// Service decides for one service. It is not safe for concurrent use.
type Service struct {
	// since is when demand was seen first.
	since time.Time
	// smooth is the demand as it is followed, recent its last values.
	smooth float64
	recent [memory]float64
	steps  int
	// rose is the number that was aimed at by the last rise, at roseAt.
	rose   int
	roseAt time.Time
	// spot is the number of reclaimable upstreams a step ago, lost how many have
	// gone of late, the last of them at lostAt, that no rise has made up for.
	spot, lost int
	lostAt     time.Time
	// zoneSpot is the number of reclaimable upstreams of each zone a step ago, and
	// reclaimedAt when some of them went that had not been given back.
	zoneSpot    map[string]int
	reclaimedAt time.Time
	// spotOrdered is the last accepted order of each zone for reclaimable ones.
	spotOrdered map[string]int
	// gaveBack is when upstreams were given back last.
	gaveBack time.Time
	orders   map[key]ordered
	dry      map[string]time.Time
}

// NewService returns a service that has measured and ordered nothing.
func NewService() *Service {
	return &Service{orders: map[key]ordered{}, dry: map[string]time.Time{}, zoneSpot: map[string]int{}, spotOrdered: map[string]int{}}
}

// Demand returns the demand as it is followed.
func (s *Service) Demand() float64 { return s.smooth }

// Reset forgets what was ordered, for a new holder of the duty. What was
// followed stays.
func (s *Service) Reset() {
	clear(s.orders)
	clear(s.dry)
	clear(s.spotOrdered)
}

// Dry notes that a zone has no reclaimable upstreams to give.
func (s *Service) Dry(now time.Time, zone string) {
	s.dry[zone] = now
	delete(s.orders, key{zone, true})
}

// Load is what is on the upstreams of a service at a moment.
type Load struct {
	// Running is the number of requests on all of them, Slots what one runs at once.
	Running, Slots int
	// Reading is the time that one upstream would take to read the prompts that wait for
	// each other. An engine with many slots is at its limit long before they are in use.
	Reading time.Duration
	// Objective is the tightest one for a first event; 0 if there is none.
	Objective time.Duration
}

// demand is in upstreams with all slots in use.
func (l Load) demand() float64 {
	demand := float64(l.Running) / float64(max(l.Slots, 1))
	if l.Objective > 0 {
		demand = max(demand, soloUse*float64(l.Reading)/(readPart*float64(l.Objective)))
	}
	return demand
}

// Follow takes what is on the upstreams. Every entry calls it once a second, so that a
// new holder knows what has been.
func (s *Service) Follow(now time.Time, l Load) {
	s.smooth += smoothing * (l.demand() - s.smooth)
	s.recent[s.steps%memory] = s.smooth
	s.steps++
	switch {
	case s.smooth < idleDemand:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// Step returns the orders to send now.
func (s *Service) Step(now time.Time, in Input) []Order {
	if s.since.IsZero() {
		return nil
	}
	s.noteReclaims(now, in)
	plan := s.plan(now, in)
	s.limitGivingBack(now, plan, in)
	return s.changed(now, plan)
}

// limitGivingBack raises a plan so that upstreams are given back in steps.
func (s *Service) limitGivingBack(now time.Time, plan []Order, in Input) {
	may := now.Sub(s.since) >= measureTime && now.Sub(s.gaveBack) >= giveBackTime && now.Sub(s.reclaimedAt) >= waveTime
	for i := range plan {
		o := &plan[i]
		have := onDemandIn(in, o.Zone)
		if o.Spot || o.Count >= have {
			continue
		}
		if !may {
			o.Count = have
			continue
		}
		o.Count = max(o.Count, have-int(math.Ceil(giveBackPart*float64(have))))
		s.gaveBack = now
	}
}

// noteReclaims sees reclaimable upstreams go that are still ordered, or that another
// holder had ordered.
func (s *Service) noteReclaims(now time.Time, in Input) {
	for _, z := range in.Zones {
		ordered, known := s.spotOrdered[z.Name]
		if z.Spot < s.zoneSpot[z.Name] && (!known || z.Spot < ordered) {
			s.reclaimedAt = now
		}
		s.zoneSpot[z.Name] = z.Spot
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

// plan returns the wanted number for each zone and kind.
func (s *Service) plan(now time.Time, in Input) []Order {
	spot, open := 0, 0
	for _, z := range in.Zones {
		spot += z.Spot
		if in.Scaling.SpotPrice > 0 && now.Sub(s.dry[z.Name]) >= dryTime {
			open++
		}
	}
	onDemand := spread(in, s.target(now, in, spot))
	missing := upstreams(slices.Max(s.recent[:]), fullUse)
	var plan []Order
	for _, z := range in.Zones {
		plan = append(plan, Order{Zone: z.Name, Count: onDemand[z.Name]})
		missing -= onDemand[z.Name]
	}
	if open == 0 {
		return plan
	}
	each := (max(missing, 0) + open - 1) / open
	for _, z := range in.Zones {
		if now.Sub(s.dry[z.Name]) >= dryTime {
			room := max(in.Scaling.Max-onDemand[z.Name], 0)
			plan = append(plan, Order{Zone: z.Name, Spot: true, Count: min(each, room)})
		}
	}
	return plan
}

// target returns the number of on-demand upstreams. It rises with the demand of
// now, and falls only to what all of the last seconds would have needed. Requests
// pile up while new upstreams boot, so one rise has to arrive before the next; but
// once all reclaimable ones have gone, they are made up for at once.
func (s *Service) target(now time.Time, in Input, spot int) int {
	have := 0
	for _, z := range in.Zones {
		have += z.OnDemand
	}
	least, most := onDemandFor(s.smooth, spot), onDemandFor(slices.Max(s.recent[:]), spot)
	total := min(max(have, least), max(most, least))
	s.countLost(now, spot, in.Scaling.Boot+riseSlack)
	lost := 0
	if spot == 0 {
		// While any are left they carry what is missing until the rise arrives.
		lost = s.lost
	}
	if now.Sub(s.roseAt) < in.Scaling.Boot+riseSlack {
		if total > s.rose {
			total = min(total, s.rose+lost)
			s.lost = max(s.lost-total+s.rose, 0)
			s.rose = total
		}
		return s.rose
	}
	if total > have {
		total = min(total, have+1+int(riseFactor*float64(have))+lost)
		s.rose, s.roseAt, s.lost = total, now, 0
	}
	return total
}

// countLost follows the reclaimable upstreams. Those that went a while ago are no
// longer missed.
func (s *Service) countLost(now time.Time, spot int, life time.Duration) {
	switch {
	case spot < s.spot:
		s.lostAt = now
	case now.Sub(s.lostAt) > life:
		s.lost = 0
	}
	s.lost = max(s.lost+s.spot-spot, 0)
	s.spot = spot
}

// onDemandFor returns how many on-demand upstreams carry a demand beside
// reclaimable ones.
func onDemandFor(demand float64, spot int) int {
	return max(upstreams(demand, baseUse), upstreams(demand, soloUse)-spot)
}

// upstreams returns how many upstreams carry a demand if each is that busy.
func upstreams(demand, use float64) int { return int(math.Ceil(demand / use)) }

// spread divides a number of upstreams over the zones: the least that each must
// have, and the rest in proportion to where callers enter, cheap zones first.
func spread(in Input, total int) map[string]int {
	out := make(map[string]int, len(in.Zones))
	zones := slices.Clone(in.Zones)
	slices.SortFunc(zones, func(a, b Zone) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	left := total
	for _, z := range zones {
		out[z.Name] = in.Scaling.Min
		left -= in.Scaling.Min
	}
	for ; left > 0; left-- {
		best, most := "", 0.0
		for _, z := range zones {
			if out[z.Name] >= in.Scaling.Max {
				continue
			}
			short := z.Share*float64(total) - float64(out[z.Name])
			if best == "" || short > most+1e-9 {
				best, most = z.Name, short
			}
		}
		if best == "" {
			break
		}
		out[best]++
	}
	return out
}

// changed returns the orders that differ from the last ones, or that are old.
func (s *Service) changed(now time.Time, plan []Order) []Order {
	var out []Order
	for _, o := range plan {
		k := key{o.Zone, o.Spot}
		last, ok := s.orders[k]
		if ok && last.count == o.Count && now.Sub(last.at) < repeatTime {
			continue
		}
		out = append(out, o)
	}
	return out
}

// Sent notes that an order was accepted.
func (s *Service) Sent(now time.Time, o Order) {
	s.orders[key{o.Zone, o.Spot}] = ordered{o.Count, now}
	if o.Spot {
		s.spotOrdered[o.Zone] = o.Count
	}
}
