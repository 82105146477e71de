package decision

import (
	"time"

	"jaylink/api"
	"jaylink/decision/admission"
)

// usage counts the accepted requests of each customer, and measures the service
// times.
type usage struct {
	// inFlight counts the requests of all classes but urgent, and
	// urgentInFlight the urgent ones.
	inFlight       map[string]int
	urgentInFlight map[string]int
	// byPeer has the counts that other entries reported, and peerTotals their
	// sums.
	byPeer       map[string]map[string]int
	peerTotals   map[string]int
	serviceTimes map[string]*serviceTime
}

// serviceTime is how long requests of a service occupy a slot of an upstream.
type serviceTime struct{ mean, fastest time.Duration }

func newUsage() usage {
	return usage{
		inFlight:       map[string]int{},
		urgentInFlight: map[string]int{},
		byPeer:         map[string]map[string]int{},
		peerTotals:     map[string]int{},
		serviceTimes:   map[string]*serviceTime{},
	}
}

func (u usage) countsFor(c api.Class) map[string]int {
	if c == api.ClassUrgent {
		return u.urgentInFlight
	}
	return u.inFlight
}

func (u usage) add(r *request) { u.countsFor(r.res.Class)[r.res.Customer.Name]++ }

func (u usage) drop(r *request) { subtract(u.countsFor(r.res.Class), r.res.Customer.Name, 1) }

func subtract(counts map[string]int, name string, n int) {
	counts[name] -= n
	if counts[name] <= 0 {
		delete(counts, name)
	}
}

// setPeer replaces the counts of another entry; nil removes them.
func (u usage) setPeer(peer string, customers map[string]int) {
	for name, n := range u.byPeer[peer] {
		subtract(u.peerTotals, name, n)
	}
	delete(u.byPeer, peer)
	if customers == nil {
		return
	}
	u.byPeer[peer] = customers
	for name, n := range customers {
		u.peerTotals[name] += n
	}
}

const (
	defaultServiceTime = time.Second
	// Each sample moves the mean by 1/meanSmoothing of its difference. A sample
	// longer than the minimum raises that by 1/fastestDecay of the difference,
	// so that the minimum follows a service that becomes slower.
	meanSmoothing = 8
	fastestDecay  = 256
)

func (u usage) observeServiceTime(r *request, now time.Time) {
	took := now.Sub(r.attemptStarted)
	t := u.serviceTimes[r.res.Service.Name]
	if t == nil {
		u.serviceTimes[r.res.Service.Name] = &serviceTime{mean: took, fastest: took}
		return
	}
	t.mean += (took - t.mean) / meanSmoothing
	t.fastest = min(took, t.fastest+(took-t.fastest)/fastestDecay)
}

func (u usage) serviceTimeOf(service string) serviceTime {
	if t := u.serviceTimes[service]; t != nil {
		return *t
	}
	return serviceTime{mean: defaultServiceTime}
}

// Usage returns the number of accepted requests of this entry by customer,
// without urgent ones. Other entries receive it as a UsageEvent.
func (c *Core) Usage() map[string]int {
	out := make(map[string]int, len(c.usage.inFlight))
	for name, n := range c.usage.inFlight {
		out[name] = n
	}
	return out
}

// inFlightOnOthers estimates the customer's requests in flight on all other
// entries by extrapolating from those that have reported.
func (c *Core) inFlightOnOthers(customer string) int {
	peers := len(c.usage.byPeer)
	if peers == 0 {
		return 0
	}
	others := max(c.entries-1, peers)
	return (c.usage.peerTotals[customer]*others + peers - 1) / peers
}

func (c *Core) admissionRequest(res *api.Resolution) *admission.Request {
	b := c.queue.backlog(res)
	t := c.usage.serviceTimeOf(res.Service.Name)
	name := res.Customer.Name
	return &admission.Request{
		Service:           res.Service.Name,
		Customer:          name,
		Class:             res.Class,
		Timeout:           res.Timeout,
		MaxInFlight:       res.CustomerSpec().MaxInFlight,
		CustomerInFlight:  c.usage.countsFor(res.Class)[name],
		CustomerElsewhere: c.inFlightOnOthers(name),
		Peers:             len(c.usage.byPeer),
		Entries:           c.entries,
		QueueLength:       res.QueueLength,
		Queued:            b.service,
		Ahead:             b.ahead,
		CustomerQueued:    b.customer,
		CustomerShare:     b.share,
		ServiceTime:       t.mean,
		Fastest:           t.fastest,
		Slots:             c.table.OpenSlots(res.Upstreams),
	}
}
