package serving

import (
	"slices"
	"strings"
	"time"
)

// Configuration is one accepted version of the operators' configuration. It is
// immutable once it is in use.
type Configuration struct {
	// Version increases with each accepted change, not always by one.
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits

	byHost    map[string][]*Route
	byService map[string]*Service
	byKey     map[string]*Customer
	// pauseObjectives holds the shortest pause objective of each service's streams.
	pauseObjectives map[string]time.Duration
}

// Route assigns requests to services and specifies how they are handled.
type Route struct {
	Name string
	// Host is the authority of the requests, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent says that a request may be executed more than once.
	Idempotent bool
	// Streaming says that answers are streams of events with increasing IDs.
	Streaming bool
	// Resumable says that a stream may be continued by another upstream after
	// its last event.
	Resumable bool
	// Timeout is the maximum time that a caller waits; 0 means no limit.
	Timeout time.Duration
	// Objective is the latency objective: the time to the complete answer or,
	// on streaming routes, to the first event.
	Objective time.Duration
	// PauseObjective is the objective for the maximum time between two events
	// of a stream.
	PauseObjective time.Duration
	// Priority is the priority of the requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of upstreams that run one request.
	MaxAttempts int
	// Anonymous says that requests without an API key are accepted.
	Anonymous bool
	// Targets are the services that the route's requests are distributed over.
	Targets []Target
}

// Repeatable reports whether a request of the route may be retried after an attempt
// whose outcome is unknown.
func (r *Route) Repeatable() bool { return r.Idempotent || (r.Streaming && r.Resumable) }

// Target is a service and the weight of its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConnections is the number of connections that an upstream accepts from
	// all entries together; 0 means that no limit is specified.
	MaxConnections int
	// HealthPath is the path of the health check of the service's upstreams; "" if unknown.
	HealthPath string
	// Engine describes the model engines of the service. It is nil for plain
	// services.
	Engine *Engine
	// Scaling is nil if the gateway does not control the number of upstreams.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of requests in a batch of one engine.
	Slots int
	// CacheTokens is the size of the KV cache in tokens. Running requests and
	// cached prefixes share it.
	CacheTokens int
}

// Scaling specifies the limits on the number of upstreams that may be ordered for a
// service, and their prices.
type Scaling struct {
	// Min and Max are numbers of upstreams in each availability zone.
	Min, Max int
	// Boot is the time from ordering an upstream until it takes requests.
	Boot time.Duration
	// SpotPrice is the price of a reclaimable upstream as a fraction of the
	// price of an on-demand one; 0 means that there are no reclaimable ones.
	SpotPrice float64
	// ZonePrices are prices per upstream and second by availability zone.
	ZonePrices map[string]float64
}

// Customer is billed for its requests, and its rate of work is limited.
type Customer struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is the work per second and Burst the work at once that all entries
	// together may accept; a Rate of 0 means no limit.
	Rate, Burst float64
	// CountsTokens says that work is measured in tokens instead of requests.
	CountsTokens bool
	// DefaultTokens is the work of a request that does not state its number of
	// tokens.
	DefaultTokens int
}

// Work returns the work of a request that counts against the customer's Rate and
// Burst.
func (c *Customer) Work(p *Prompt) float64 {
	switch {
	case !c.CountsTokens:
		return 1
	case p == nil:
		return float64(c.DefaultTokens)
	}
	return float64(p.Input + p.MaxOutput)
}

// Limits are the limits on the size of requests and on the time that callers take to
// send them.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Index builds the lookup tables. It must be called once, before the configuration
// is used.
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
	c.indexPauseObjectives()
}

func (c *Configuration) indexPauseObjectives() {
	c.pauseObjectives = map[string]time.Duration{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.Streaming || r.PauseObjective <= 0 {
			continue
		}
		for _, t := range r.Targets {
			if o := c.pauseObjectives[t.Service]; o == 0 || r.PauseObjective < o {
				c.pauseObjectives[t.Service] = r.PauseObjective
			}
		}
	}
}

// PauseObjective returns the shortest pause objective among the streaming routes to a service,
// or 0 if there is none.
func (c *Configuration) PauseObjective(service string) time.Duration {
	return c.pauseObjectives[service]
}

// Route returns the route of the host with the longest matching path prefix, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (c *Configuration) Service(name string) *Service { return c.byService[name] }

// CustomerOf returns the customer with the given API key, or nil.
func (c *Configuration) CustomerOf(key string) *Customer { return c.byKey[key] }

// PickTarget selects a service by the weights of the targets. The random number draw
// is in [0, 1); the same number always selects the same service.
func (r *Route) PickTarget(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	return ""
}
