package api

import (
	"fmt"
	"net/netip"
	"slices"
)

// Class is the urgency of a request. It determines the order in queues and the
// access to reserved capacity.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent      Class = "urgent"
	ClassInteractive Class = "interactive"
	ClassPatient     Class = "patient"
)

// Classes lists the classes, most urgent first.
var Classes = []Class{ClassUrgent, ClassInteractive, ClassPatient}

// Protocol is the protocol of requests to an upstream.
type Protocol string

// The protocols of upstreams.
const (
	// ProtocolCompletions is the completions API that model engines usually have.
	ProtocolCompletions Protocol = "completions"
	// ProtocolHTTP is plain HTTP, for any other service.
	ProtocolHTTP Protocol = "http"
)

// Protocols lists the protocols.
var Protocols = []Protocol{ProtocolCompletions, ProtocolHTTP}

// ServiceSpec describes a service: which requests belong to it and which upstreams
// process them.
type ServiceSpec struct {
	// Selector selects requests by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// Priority decides between services that match the same request; the
	// highest number wins. Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// Protocol is "completions" or "http".
	Protocol Protocol `json:"protocol" yaml:"protocol"`
	// Upstreams selects upstreams by their labels.
	Upstreams Selector `json:"upstreams" yaml:"upstreams"`
	// Class is "urgent", "interactive" or "patient". Default "interactive".
	Class Class `json:"class,omitempty" yaml:"class"`
	// Timeout limits the time from the acceptance of a request to the end of
	// its answer. Default 5m.
	Timeout Duration `json:"timeout,omitempty" yaml:"timeout"`
	// QueueLength is the maximum number of requests that wait for an upstream
	// on each entry. Default 256.
	QueueLength int `json:"queue_length,omitempty" yaml:"queue_length"`
	// FirstToken is the target for the time to the first token.
	FirstToken Duration `json:"first_token,omitempty" yaml:"first_token"`
	// BetweenTokens is the target for the time between tokens.
	BetweenTokens Duration `json:"between_tokens,omitempty" yaml:"between_tokens"`
}

func (s *ServiceSpec) check() []FieldProblem {
	var p problems
	p.require("spec.selector", !s.Selector.Empty())
	p.require("spec.upstreams", !s.Upstreams.Empty())
	p.requireOneOf("spec.protocol", s.Protocol, Protocols)
	checkClass(&p, s.Class)
	p.requireNonNegative("spec.queue_length", float64(s.QueueLength))
	return p
}

// CustomerSpec describes a customer, who is billed for the selected requests.
type CustomerSpec struct {
	// Selector selects requests by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// Priority decides between customers that match the same request; the
	// highest number wins. Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// Weight is the customer's relative share of capacity when demand exceeds
	// it. Default 1.
	Weight float64 `json:"weight,omitempty" yaml:"weight"`
	// MaxInFlight limits the customer's accepted, unfinished requests in the
	// whole fleet. Zero means no limit.
	MaxInFlight int `json:"max_in_flight,omitempty" yaml:"max_in_flight"`
}

func (s *CustomerSpec) check() []FieldProblem {
	var p problems
	p.require("spec.selector", !s.Selector.Empty())
	p.requireNonNegative("spec.weight", s.Weight)
	p.requireNonNegative("spec.max_in_flight", float64(s.MaxInFlight))
	return p
}

// PolicySpec sets options of the requests that it selects. Its selector matches the
// labels of the request, the names of its service and customer as the labels
// "service" and "customer", and the labels of these objects as "service.KEY" and
// "customer.KEY".
type PolicySpec struct {
	// Selector selects requests by their labels.
	Selector Selector `json:"selector" yaml:"selector"`
	// Priority decides between policies that match the same request, separately
	// for each option; the highest number wins. Default 0.
	Priority int `json:"priority,omitempty" yaml:"priority"`
	// Idempotent says whether a request may be executed more than once. If no
	// policy sets it, the request is not idempotent.
	Idempotent *bool `json:"idempotent,omitempty" yaml:"idempotent"`
	// Class overrides the service's class.
	Class Class `json:"class,omitempty" yaml:"class"`
	// Timeout overrides the service's timeout.
	Timeout *Duration `json:"timeout,omitempty" yaml:"timeout"`
	// MaxAttempts limits the dispatches of an idempotent request, including the
	// first. Default 3.
	MaxAttempts *int `json:"max_attempts,omitempty" yaml:"max_attempts"`
}

func (s *PolicySpec) check() []FieldProblem {
	var p problems
	p.require("spec.selector", !s.Selector.Empty())
	checkClass(&p, s.Class)
	if s.MaxAttempts != nil && *s.MaxAttempts < 1 {
		p.add("spec.max_attempts", fmt.Sprintf("%d is too small; at least 1 is allowed", *s.MaxAttempts))
	}
	return p
}

// UpstreamSpec describes one server that processes requests.
type UpstreamSpec struct {
	// Address is "ip:port".
	Address string `json:"address" yaml:"address"`
	// Protocol is "completions" or "http".
	Protocol Protocol `json:"protocol" yaml:"protocol"`
	// Host is the upstream's name in the host list. Default: the object's name.
	Host string `json:"host,omitempty" yaml:"host"`
	// AvailabilityZone and Region are the location of the upstream.
	AvailabilityZone string `json:"availability_zone" yaml:"availability_zone"`
	Region           string `json:"region" yaml:"region"`
	// MachineClass is the machine type, for example "reclaimable-l4".
	MachineClass string `json:"machine_class,omitempty" yaml:"machine_class"`
	// PricePerHour is the price of the host in the billing currency.
	PricePerHour float64 `json:"price_per_hour,omitempty" yaml:"price_per_hour"`
	// Slots is the number of requests that run concurrently. Default 8.
	Slots int `json:"slots,omitempty" yaml:"slots"`
	// ChecksFencing says that the upstream rejects orders with an outdated
	// fencing token. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing"`
}

func (s *UpstreamSpec) check() []FieldProblem {
	var p problems
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		p.add("spec.address", fmt.Sprintf("%.64q is not an address; write ip:port", s.Address))
	}
	p.require("spec.availability_zone", s.AvailabilityZone != "")
	p.require("spec.region", s.Region != "")
	p.checkLabel("spec.availability_zone", s.AvailabilityZone)
	p.checkLabel("spec.region", s.Region)
	p.checkLabel("spec.machine_class", s.MachineClass)
	p.checkLabel("spec.host", s.Host)
	p.requireOneOf("spec.protocol", s.Protocol, Protocols)
	p.requireNonNegative("spec.price_per_hour", s.PricePerHour)
	p.requireNonNegative("spec.slots", float64(s.Slots))
	return p
}

// problems collects the validation errors of one spec.
type problems []FieldProblem

func (p *problems) add(field, problem string) { *p = append(*p, FieldProblem{field, problem}) }

func (p *problems) require(field string, ok bool) {
	if !ok {
		p.add(field, "missing")
	}
}

// checkLabel checks a field that selectors can match like a label.
func (p *problems) checkLabel(field, value string) {
	if err := CheckLabelValue(value); err != nil {
		p.add(field, err.Error())
	}
}

func (p *problems) requireNonNegative(field string, v float64) {
	if v < 0 {
		p.add(field, fmt.Sprintf("%v is negative; 0 or more is allowed", v))
	}
}

func (p *problems) requireOneOf(field string, v Protocol, allowed []Protocol) {
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
