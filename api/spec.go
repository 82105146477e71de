package api

import (
	"fmt"
	"net/netip"
	"slices"
)

// Class says how soon an answer is needed. It orders queues and reserves capacity.
type Class string

// The classes, most pressing first.
const (
	ClassUrgent      Class = "urgent"
	ClassInteractive Class = "interactive"
	ClassPatient     Class = "patient"
)

// Classes lists the classes, most pressing first.
var Classes = []Class{ClassUrgent, ClassInteractive, ClassPatient}

// Protocol says how an upstream is spoken to.
type Protocol string

// The protocols of upstreams.
const (
	// ProtocolCompletions is a model engine with the usual completions form.
	ProtocolCompletions Protocol = "completions"
	// ProtocolHTTP is any plain HTTP service.
	ProtocolHTTP Protocol = "http"
)

// Protocols lists the protocols.
var Protocols = []Protocol{ProtocolCompletions, ProtocolHTTP}

// ServiceSpec describes a service: which requests belong to it and which
// upstreams answer them.
type ServiceSpec struct {
	// Selector picks requests by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// Priority decides between services whose selectors both match; the
	// higher number wins. Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// Protocol is "completions" or "http".
	Protocol Protocol `json:"protocol" yaml:"protocol"`
	// Upstreams picks upstreams by their labels.
	Upstreams Selector `json:"upstreams" yaml:"upstreams"`
	// Class is "urgent", "interactive" or "patient". Default "interactive".
	Class Class `json:"class,omitempty" yaml:"class"`
	// Timeout bounds the time from acceptance to the end of the answer.
	// Default 5m.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout"`
	// QueueLength is the number of requests that may wait on each entry for
	// an upstream. Default 256.
	QueueLength int `json:"queue_length,omitempty" yaml:"queue_length"`
	// FirstToken is the target for the time to the first token.
	FirstToken Duration `json:"first_token,omitempty" yaml:"first_token"`
	// BetweenTokens is the target for the time between tokens.
	BetweenTokens Duration `json:"between_tokens,omitempty" yaml:"between_tokens"`
}

func (s *ServiceSpec) check() []FieldProblem {
	var p problems
	p.need("spec.selector", !s.Selector.Empty())
	p.need("spec.upstreams", !s.Upstreams.Empty())
	p.oneOf("spec.protocol", s.Protocol, Protocols)
	checkClass(&p, s.Class)
	p.atLeastZero("spec.queue_length", float64(s.QueueLength))
	return p
}

// CustomerSpec describes who is billed for a request.
type CustomerSpec struct {
	// Selector picks requests by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// Priority decides between customers whose selectors both match. Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// Weight is the customer's share of capacity when there is too little.
	// Default 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// MaxInFlight bounds the customer's accepted requests in the whole fleet.
	// Zero means no bound.
	MaxInFlight int `json:"max_in_flight,omitempty" yaml:"max_in_flight"`
}

func (s *CustomerSpec) check() []FieldProblem {
	var p problems
	p.need("spec.selector", !s.Selector.Empty())
	p.atLeastZero("spec.weight", s.Weight)
	p.atLeastZero("spec.max_in_flight", float64(s.MaxInFlight))
	return p
}

// PolicySpec sets options for the requests that it selects. Its selector sees
// the request's labels, "service" and "customer" with their names, and the
// labels of both objects under "service.KEY" and "customer.KEY".
type PolicySpec struct {
	// Selector picks requests by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// Priority decides field by field between policies that both match.
	// Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// Idempotent says whether the work may be repeated. Work that no policy
	// calls idempotent is not.
	Idempotent *bool `json:"idempotent,omitempty" yaml:"idempotent"`
	// Class replaces the service's class.
	Class Class `json:"class,omitempty" yaml:"class"`
	// Timeout replaces the service's timeout.
	Timeout *Duration `json:"timeout,omitempty" yaml:"timeout"`
	// MaxAttempts bounds dispatches of idempotent work, the first included.
	// Default 3.
	MaxAttempts *int `json:"max_attempts,omitempty" yaml:"max_attempts"`
}

func (s *PolicySpec) check() []FieldProblem {
	var p problems
	p.need("spec.selector", !s.Selector.Empty())
	checkClass(&p, s.Class)
	if s.MaxAttempts != nil && *s.MaxAttempts < 1 {
		p.add("spec.max_attempts", fmt.Sprintf("%d is too small; at least 1 is allowed", *s.MaxAttempts))
	}
	return p
}

// UpstreamSpec describes one server that answers requests.
type UpstreamSpec struct {
	// Address is "ip:port".
	Address string `json:"address" yaml:"address"`
	// Protocol is "completions" or "http".
	Protocol Protocol `json:"protocol" yaml:"protocol"`
	// Host is the name in the host list. Default: the object's name.
	Host string `json:"host,omitempty" yaml:"host"`
	// AvailabilityZone and Region say where the upstream runs.
	AvailabilityZone string `json:"availability_zone" yaml:"availability_zone"`
	Region           string `json:"region" yaml:"region"`
	// MachineClass names the kind of machine, for example "reclaimable-l4".
	MachineClass string `json:"machine_class,omitempty" yaml:"machine_class"`
	// PricePerHour is the cost of the host in the bill's currency.
	PricePerHour float64 `json:"price_per_hour,omitempty" yaml:"price_per_hour"`
	// Slots is the number of requests that run at once. Default 8.
	Slots int `json:"slots,omitempty" yaml:"slots"`
	// ChecksFencing says that the upstream refuses orders with an old
	// fencing number. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing"`
}

func (s *UpstreamSpec) check() []FieldProblem {
	var p problems
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		p.add("spec.address", fmt.Sprintf("%.64q is not an address; write ip:port", s.Address))
	}
	p.need("spec.availability_zone", s.AvailabilityZone != "")
	p.need("spec.region", s.Region != "")
	p.label("spec.availability_zone", s.AvailabilityZone)
	p.label("spec.region", s.Region)
	p.label("spec.machine_class", s.MachineClass)
	p.label("spec.host", s.Host)
	p.oneOf("spec.protocol", s.Protocol, Protocols)
	p.atLeastZero("spec.price_per_hour", s.PricePerHour)
	p.atLeastZero("spec.slots", float64(s.Slots))
	return p
}

// problems collects the mistakes of one spec.
type problems []FieldProblem

func (p *problems) add(field, problem string) { *p = append(*p, FieldProblem{field, problem}) }

func (p *problems) need(field string, ok bool) {
	if !ok {
		p.add(field, "missing")
	}
}

// label checks a field that selectors see as a label.
func (p *problems) label(field, value string) {
	if err := CheckLabelValue(value); err != nil {
		p.add(field, err.Error())
	}
}

func (p *problems) atLeastZero(field string, v float64) {
	if v < 0 {
		p.add(field, fmt.Sprintf("%v is negative; 0 or more is allowed", v))
	}
}

func (p *problems) oneOf(field string, v Protocol, allowed []Protocol) {
	if slices.Contains(allowed, v) {
		return
	}
	p.add(field, fmt.Sprintf("%q is not known; allowed are %v", v, allowed))
}

func checkClass(p *problems, c Class) {
	if c != "" && !slices.Contains(Classes, c) {
		p.add("spec.class", fmt.Sprintf("%q is not known; allowed are %v", c, Classes))
	}
}
