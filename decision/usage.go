package decision

import (
	"time"

	"jaylink/api"
	"jaylink/decision/admission"
)

// usage counts what is accepted, by customer, and how long services take.
type usage struct {
	// customers counts all but urgent requests, which urgent counts.
	customers map[string]int
	urgent    map[string]int
	// peers has the counts of the other entries, and elsewhere their sums.
	peers     map[string]map[string]int
	elsewhere map[string]int
	services  map[string]*timing
}

// timing is how long the requests of a service hold a slot.
type timing struct{ mean, fastest time.Duration }

func newUsage() usage {
	return usage{
		customers: map[string]int{},
		urgent:    map[string]int{},
		peers:     map[string]map[string]int{},
		elsewhere: map[string]int{},
		services:  map[string]*timing{},
	}
}

func (u usage) counts(c api.Class) map[string]int {
	if c == api.ClassUrgent {
		return u.urgent
	}
	return u.customers
}

func (u usage) add(r *request) { u.counts(r.res.Class)[r.res.Customer.Name]++ }

func (u usage) drop(r *request) { subtract(u.counts(r.res.Class), r.res.Customer.Name, 1) }

func subtract(counts map[string]int, name string, n int) {
	counts[name] -= n
	if counts[name] <= 0 {
		delete(counts, name)
	}
}

// report replaces the counts of another entry.
func (u usage) report(peer string, customers map[string]int) {
	for name, n := range u.peers[peer] {
		subtract(u.elsewhere, name, n)
	}
	delete(u.peers, peer)
	if customers == nil {
		return
	}
	u.peers[peer] = customers
	for name, n := range customers {
		u.elsewhere[name] += n
	}
}

const (
	defaultServiceTime = time.Second
	// serviceTimeShare is the weight of the newest sample in the mean, and
	// fastestShare that with which the shortest time is forgotten.
	serviceTimeShare = 8
	fastestShare     = 256
)

func (u usage) observe(r *request, now time.Time) {
	took := now.Sub(r.started)
	t := u.services[r.res.Service.Name]
	if t == nil {
		u.services[r.res.Service.Name] = &timing{mean: took, fastest: took}
		return
	}
	t.mean += (took - t.mean) / serviceTimeShare
	t.fastest = min(took, t.fastest+(took-t.fastest)/fastestShare)
}

func (u usage) timing(service string) timing {
	if t := u.services[service]; t != nil {
		return *t
	}
	return timing{mean: defaultServiceTime}
}

// Usage returns the accepted requests of this entry by customer, urgent ones left
// out, which other entries take as a UsageEvent.
func (c *Core) Usage() map[string]int {
	out := make(map[string]int, len(c.usage.customers))
	for name, n := range c.usage.customers {
		out[name] = n
	}
	return out
}

// elsewhere estimates the customer's requests on all other entries from those
// that were heard of.
func (c *Core) elsewhere(customer string) int {
	peers := len(c.usage.peers)
	if peers == 0 {
		return 0
	}
	others := max(c.entries-1, peers)
	return (c.usage.elsewhere[customer]*others + peers - 1) / peers
}

func (c *Core) admissionRequest(res *api.Resolution) *admission.Request {
	w := c.queue.waiting(res)
	t := c.usage.timing(res.Service.Name)
	name := res.Customer.Name
	return &admission.Request{
		Service:           res.Service.Name,
		Customer:          name,
		Class:             res.Class,
		Timeout:           res.Timeout,
		MaxInFlight:       res.CustomerSpec().MaxInFlight,
		CustomerInFlight:  c.usage.counts(res.Class)[name],
		CustomerElsewhere: c.elsewhere(name),
		Peers:             len(c.usage.peers),
		Entries:           c.entries,
		QueueLength:       res.QueueLength,
		Queued:            w.service,
		Ahead:             w.ahead,
		CustomerQueued:    w.customer,
		CustomerShare:     w.share,
		ServiceTime:       t.mean,
		Fastest:           t.fastest,
		Slots:             c.table.OpenSlots(res.Upstreams),
	}
}
