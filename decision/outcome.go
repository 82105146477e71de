package decision

import (
	"cmp"
	"slices"
	"time"

	"jaylink/api"
	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

const (
	// drainRetryAfter is how long a caller of a stopping entry waits; the
	// balancer sends it to another entry.
	drainRetryAfter = time.Second
	// unavailableRetryAfter is how long a caller waits when something that
	// the request needs can't be reached.
	unavailableRetryAfter = 5 * time.Second
)

// blamesUpstream reports whether an outcome makes the upstream suspect.
func blamesUpstream(o Outcome) bool {
	switch o {
	case OutcomeConnectFailed, OutcomeServerError, OutcomeBroken, OutcomeNoAnswer:
		return true
	}
	return false
}

// retryReason maps a failed outcome to the reason for repeating it.
func retryReason(o Outcome) reason.Reason {
	switch o {
	case OutcomeConnectFailed:
		return reason.ConnectFailed
	case OutcomeBusy:
		return reason.UpstreamBusy
	case OutcomeBroken:
		return reason.StreamBroken
	case OutcomeNoAnswer:
		return reason.NoAnswer
	}
	return reason.UpstreamError
}

// admissionDelay returns when the caller of a refused request may come back.
// It is zero where sending the same request again can't help.
func admissionDelay(why reason.Reason, r *admission.Request) time.Duration {
	switch why {
	case reason.KeyReused, reason.OutcomeUnknown, reason.OutcomeNotKept, reason.Poison, reason.AnswerTooLarge:
		return 0
	case reason.ClaimUnavailable:
		return unavailableRetryAfter
	}
	return r.DrainTime()
}

func (c *Core) admissionRequest(res *api.Resolution) *admission.Request {
	r := &admission.Request{
		Service:          res.Service.Name,
		Customer:         res.Customer.Name,
		Class:            res.Class,
		MaxInFlight:      res.CustomerSpec().MaxInFlight,
		CustomerInFlight: c.usage.customers[res.Customer.Name],
		Entries:          c.entries,
		QueueLength:      res.QueueLength,
		Queued:           c.queue.length(res.Service.Name),
		ServiceTime:      c.usage.serviceTime(res.Service.Name),
	}
	for _, u := range c.table.Candidates(res.Upstreams) {
		if !u.Leaving {
			r.Slots += u.Slots()
		}
	}
	return r
}

// inOrder returns the requests by the time of acceptance, so that the same
// events always give the same actions.
func (c *Core) inOrder() []*request {
	list := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(a.accepted.Compare(b.accepted), cmp.Compare(a.id, b.id))
	})
	return list
}

// usage counts what is accepted, by customer, and how long services take.
type usage struct {
	customers map[string]int
	services  map[string]time.Duration
}

func newUsage() usage {
	return usage{customers: map[string]int{}, services: map[string]time.Duration{}}
}

func (u usage) add(r *request) { u.customers[r.res.Customer.Name]++ }

func (u usage) drop(r *request) {
	name := r.res.Customer.Name
	u.customers[name]--
	if u.customers[name] <= 0 {
		delete(u.customers, name)
	}
}

const (
	defaultServiceTime = time.Second
	// serviceTimeShare is the weight of the newest sample in the mean.
	serviceTimeShare = 8
)

func (u usage) observe(r *request, now time.Time) {
	mean := u.serviceTime(r.res.Service.Name)
	u.services[r.res.Service.Name] = mean + (now.Sub(r.started)-mean)/serviceTimeShare
}

func (u usage) serviceTime(service string) time.Duration {
	if t, ok := u.services[service]; ok {
		return t
	}
	return defaultServiceTime
}
