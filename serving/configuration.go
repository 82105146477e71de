package serving

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one accepted version of what operators declare. It is not
// changed once it is in use.
type Configuration struct {
	// Version rises with each accepted change, in uneven steps.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits

	byHost    map[string][]*Route
	byService map[string]*Service
	byKey     map[string]*Customer
}

// Route says which requests go to which service and how they may be treated.
type Route struct {
	Name string
	// Host is the authority that callers ask for, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Streaming answers are a series of events with rising IDs.
	Streaming bool
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting; 0 is no bound.
	Timeout time.Duration
	// Objective is the latency objective: up to the whole answer or, on
	// streaming routes, up to the first event.
	Objective time.Duration
	// PauseObjective is the longest pause between two events of a stream that
	// is still on time.
	PauseObjective time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the upstreams that run one request.
	MaxAttempts int
	// Anonymous routes take requests without an API key.
	Anonymous bool
	// Targets are the services that share the route's requests.
	Targets []Target
}

// Repeatable reports whether a request of the route may run again after an
// attempt whose fate is unknown.
func (r *Route) Repeatable() bool { return r.Idempotent || (r.Streaming && r.Resumable) }

// Target is a service's share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of upstreams that run the same requests.
type Service struct {
	Name string
	// MaxConnections is what an upstream accepts from all entries together; 0
	// means that no bound is stated.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if the number of upstreams is not ours to order.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine batches.
	Slots int
	// Memory is the KV cache in tokens, shared by running requests and
	// cached prefixes.
	Memory int
}

// Scaling bounds the upstreams that may be ordered for a service.
type Scaling struct {
	// Min and Max hold for each availability zone.
	Min, Max int
	// Boot is the time from an order to the first request.
	Boot time.Duration
	// SpotPrice is the price of a reclaimable upstream as a part of that of
	// an on-demand one; 0 means that there are none.
	SpotPrice float64
	// ZonePrices are prices per upstream and second by availability zone.
	ZonePrices map[string]float64
}

// Customer is billed for its requests and has an allowance.
type Customer struct {
	Name string
	Keys []string
	// Priority replaces that of the route if Ranked is set.
	Priority int
	Ranked   bool
	// Rate and Burst bound the work of all entries together, per second and
	// at once; a Rate of 0 is no bound.
	Rate, Burst float64
	// CountsTokens says that work is counted in tokens, else in requests.
	CountsTokens bool
	// PlainTokens is the work of a request that states no tokens.
	PlainTokens int
}

// Work returns what a request counts against the customer's allowance.
func (c *Customer) Work(p *Prompt) float64 {
	switch {
	case !c.CountsTokens:
		return 1
	case p == nil:
		return float64(c.PlainTokens)
	}
	return float64(p.Input + p.MaxOutput)
}

// Limits bound what callers may send, and how long they may take.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Index prepares the look-ups. It is called once, before the configuration is
// used.
func (c *Configuration) Index() {
	c.byHost = make(map[string][]*Route)
	c.byService = make(map[string]*Service, len(c.Services))
	c.byKey = make(map[string]*Customer)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range c.Services {
		c.byService[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Customers {
		for _, key := range c.Customers[i].Keys {
			c.byKey[key] = &c.Customers[i]
		}
	}
}

// Route returns the route with the longest prefix of the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of a name, or nil.
func (c *Configuration) Service(name string) *Service { return c.byService[name] }

// CustomerOf returns the customer that holds an API key, or nil.
func (c *Configuration) CustomerOf(key string) *Customer { return c.byKey[key] }

// PickTarget returns the service that serves a request. The draw is in [0, 1);
// the same draw always gives the same service.
func (r *Route) PickTarget(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := draw * float64(total)
	for _, t := range r.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return ""
}
