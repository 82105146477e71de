package waiting

import (
	"math"
	"math/bits"
	"time"
)

// Floors are how often the requests of a group have to be served at least, relative to
// all requests. Sizes have a high one because requests that take longer would else pay for
// all others; patient priorities a low one because they are patient.
const (
	customerFloor = 0.75
	sizeFloor     = 0.95
	priorityFloor = 0.3
)

const (
	// shareWindow is the time constant of the counts by which groups are compared, and
	// usualWindow that of a customer's usual demand.
	shareWindow = 5 * time.Second
	usualWindow = 2 * time.Minute
	// decayStep is the resolution of the decay.
	decayStep = 10 * time.Millisecond
	// hotFactor is the multiple of its usual demand from which on a customer is behind the
	// others, and minHot the number of requests in shareWindow below which it is not.
	hotFactor, minHot = 2.0, 5.0
	// maxCustomers bounds the customers that are told apart; further ones count as one.
	maxCustomers = 1024
	// prior is the number of served requests that each group is given, so that a few requests
	// of a small one don't decide.
	prior = 2.0
	// sizes is the number of classes of sizes, each twice the one before.
	sizes = 24
)

// group counts the requests of a customer, size or priority, with a decay.
type group struct {
	offered, admitted float64
	// work is the engine time in seconds of those admitted, by the group with which they
	// are in the order: their priority, or the protected ones.
	work float64
	at   time.Time
	// usual is the number of requests offered with the decay of usualWindow, and since when
	// the group is known.
	usual float64
	since time.Time
}

func (g *group) decay(now time.Time) {
	passed := float64(now.Sub(g.at))
	if passed < float64(decayStep) {
		return
	}
	if !g.at.IsZero() {
		keep := math.Exp(-passed / float64(shareWindow))
		g.offered *= keep
		g.admitted *= keep
		g.work *= keep
		g.usual *= math.Exp(-passed / float64(usualWindow))
	}
	g.at = now
}

// hot reports whether a customer's demand is far above its usual one.
func (g *group) hot(now time.Time) bool {
	known := now.Sub(g.since)
	if known < 2*shareWindow || g.offered < minHot {
		return false
	}
	// Sums with a decay are rates times their windows, as far as these have been filled.
	usualRate := g.usual / (usualWindow.Seconds() * (1 - math.Exp(-float64(known)/float64(usualWindow))))
	return g.offered/shareWindow.Seconds() > hotFactor*usualRate
}

// shares counts how often the requests of each group are served.
type shares struct {
	all        group
	customers  map[string]*group
	others     group // of customers beyond maxCustomers
	sizes      [sizes]group
	priorities [levels]group
	protected  group
}

func newShares() shares { return shares{customers: map[string]*group{}} }

// groups are those that a request belongs to.
type groups struct{ all, customer, size, priority *group }

func (g groups) hot(now time.Time) bool { return g.customer.hot(now) }

func (s *shares) of(now time.Time, r *Request) groups {
	g := groups{&s.all, s.customer(now, r.Customer), &s.sizes[sizeOf(r.Cost)], &s.priorities[r.Priority]}
	for _, one := range []*group{g.all, g.customer, g.size, g.priority} {
		one.decay(now)
	}
	return g
}

func (s *shares) customer(now time.Time, name string) *group {
	if c := s.customers[name]; c != nil {
		return c
	}
	if len(s.customers) >= maxCustomers {
		s.expire(now)
	}
	if len(s.customers) >= maxCustomers {
		return &s.others
	}
	c := &group{since: now}
	s.customers[name] = c
	return c
}

// expire forgets customers without requests for long.
func (s *shares) expire(now time.Time) {
	if s.others.at.IsZero() || now.Sub(s.others.since) > usualWindow {
		// At most once per usualWindow, because it reads all customers.
		s.others.since, s.others.at = now, now
		for name, c := range s.customers {
			if now.Sub(c.at) > usualWindow {
				delete(s.customers, name)
			}
		}
	}
}

// sizeOf returns the class of a cost. Those up to 4 ms are one class.
func sizeOf(cost time.Duration) int {
	return min(bits.Len64(uint64(cost>>22)), sizes-1)
}

// offered counts a request that is offered and returns its groups.
func (s *shares) offered(now time.Time, r *Request) groups {
	g := s.of(now, r)
	for _, one := range []*group{g.all, g.customer, g.size, g.priority} {
		one.offered++
		one.usual++
	}
	return g
}

// admitted counts a request that is started or waits, or with -1 takes that back.
func (s *shares) admitted(g groups, cost time.Duration, protected bool, n float64) {
	for _, one := range []*group{g.all, g.customer, g.size, g.priority} {
		one.admitted = max(one.admitted+n, 0)
	}
	ahead := g.priority
	if protected {
		ahead = &s.protected
	}
	ahead.work = max(ahead.work+n*cost.Seconds(), 0)
}

// goesFirst returns the engine time per second of the admitted requests that go before
// those of a priority: protected ones and more urgent ones.
func (s *shares) goesFirst(now time.Time, priority int) float64 {
	s.protected.decay(now)
	work := s.protected.work
	for p := range priority {
		s.priorities[p].decay(now)
		work += s.priorities[p].work
	}
	return work / shareWindow.Seconds()
}

// starved reports whether one of the groups is served too seldom compared with all requests.
func (s *shares) starved(g groups) bool {
	all := g.all.admitted / max(g.all.offered, 1)
	below := func(one *group, floor float64) bool {
		return one.admitted+prior < floor*(all*one.offered+prior)
	}
	return below(g.customer, customerFloor) || below(g.size, sizeFloor) || below(g.priority, priorityFloor)
}
