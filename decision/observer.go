package decision

import (
	"time"

	"jaylink/api"
	"jaylink/decision/admission"
	"jaylink/decision/reason"
	"jaylink/decision/route"
)

// Observer receives the inputs of decisions, in order to explain them later.
// Its methods are called inside Step, before the decision changes the upstream
// table, and must not modify their arguments. Without an Observer a Core does
// no extra work.
type Observer interface {
	// Accepted is called for each accepted request.
	Accepted(now time.Time, id string, res *api.Resolution)
	// Routed is called for each dispatch.
	Routed(now time.Time, r *route.Request, attempt int, picked string)
	// Limited is called when a limit refuses a request.
	Limited(now time.Time, id string, r *admission.Request, why reason.Reason)
}

func (c *Core) observeAccept(now time.Time, r *request) {
	if c.cfg.Observer != nil {
		c.cfg.Observer.Accepted(now, r.id, &r.res)
	}
}

func (c *Core) observeRoute(now time.Time, r *request, picked string) {
	if c.cfg.Observer != nil {
		c.cfg.Observer.Routed(now, &r.route, r.attempts+1, picked)
	}
}

func (c *Core) observeLimit(now time.Time, id string, r *admission.Request, why reason.Reason) {
	if c.cfg.Observer != nil {
		c.cfg.Observer.Limited(now, id, r, why)
	}
}

// Waiting returns the number of requests that wait for an upstream.
func (c *Core) Waiting() int {
	n := 0
	for _, r := range c.requests {
		if r.phase == phaseQueued {
			n++
		}
	}
	return n
}
