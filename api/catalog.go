package api

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Defaults of specs.
const (
	DefaultTimeout     = 5 * time.Minute
	DefaultMaxAttempts = 3
	DefaultQueueLength = 256
	DefaultSlots       = 8
	DefaultWeight      = 1.0
)

// Catalog is a set of objects prepared for matching requests. It is immutable.
type Catalog struct {
	services  []*Object // by falling priority, then by name
	customers []*Object
	policies  []*Object
	upstreams []*Object
}

// NewCatalog prepares the objects. Deleted objects are left out.
func NewCatalog(objects []*Object) *Catalog {
	c := &Catalog{}
	for _, o := range objects {
		if o.Deleted || o.Spec == nil {
			continue
		}
		switch o.Kind {
		case KindService:
			c.services = append(c.services, o)
		case KindCustomer:
			c.customers = append(c.customers, o)
		case KindPolicy:
			c.policies = append(c.policies, o)
		case KindUpstream:
			c.upstreams = append(c.upstreams, o)
		}
	}
	for _, list := range [][]*Object{c.services, c.customers, c.policies} {
		slices.SortFunc(list, byPriority)
	}
	return c
}

// byPriority puts the higher priority first. Between equals the older version
// comes first, so that every entry resolves a conflict that two operators
// created at the same moment in the same way.
func byPriority(a, b *Object) int {
	if d := priorityOf(b) - priorityOf(a); d != 0 {
		return d
	}
	if a.Version != b.Version {
		if a.Version < b.Version {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Name, b.Name)
}

func priorityOf(o *Object) int {
	switch s := o.Spec.(type) {
	case *ServiceSpec:
		return s.Priority
	case *CustomerSpec:
		return s.Priority
	case *PolicySpec:
		return s.Priority
	}
	return 0
}

func selectorOf(o *Object) Selector {
	switch s := o.Spec.(type) {
	case *ServiceSpec:
		return s.Selector
	case *CustomerSpec:
		return s.Selector
	case *PolicySpec:
		return s.Selector
	}
	return Selector{}
}

// Upstreams returns the upstream objects. The caller must not change them.
func (c *Catalog) Upstreams() []*Object { return c.upstreams }

// Services returns the service objects. The caller must not change them.
func (c *Catalog) Services() []*Object { return c.services }

// Objects returns all objects of the catalog, by kind.
func (c *Catalog) Objects() []*Object {
	return slices.Concat(c.services, c.customers, c.policies, c.upstreams)
}

// Resolution is what the selectors decided for one request.
type Resolution struct {
	Service  *Object
	Customer *Object
	// Policies are the names of the policies that matched.
	Policies    []string
	Protocol    Protocol
	Upstreams   Selector
	Idempotent  bool
	Class       Class
	Timeout     time.Duration
	MaxAttempts int
	QueueLength int
}

// ServiceSpec returns the spec of the resolved service.
func (r *Resolution) ServiceSpec() *ServiceSpec { return r.Service.Spec.(*ServiceSpec) }

// CustomerSpec returns the spec of the resolved customer.
func (r *Resolution) CustomerSpec() *CustomerSpec { return r.Customer.Spec.(*CustomerSpec) }

// Resolve finds the service, customer and policies of a request by its labels.
// It returns false and a nil Service or Customer where none matches.
func (c *Catalog) Resolve(request Labels) (Resolution, bool) {
	r := Resolution{
		Service:  firstMatch(c.services, request),
		Customer: firstMatch(c.customers, request),
	}
	if r.Service == nil || r.Customer == nil {
		return r, false
	}
	s := r.ServiceSpec()
	r.Protocol = s.Protocol
	r.Upstreams = s.Upstreams
	r.Class = orDefault(s.Class, ClassInteractive)
	r.Timeout = orDefault(s.Timeout.Std(), DefaultTimeout)
	r.QueueLength = orDefault(s.QueueLength, DefaultQueueLength)
	r.MaxAttempts = DefaultMaxAttempts
	c.applyPolicies(&r, policyLabels(request, r.Service, r.Customer))
	return r, true
}

func firstMatch(list []*Object, l Labels) *Object {
	for _, o := range list {
		if selectorOf(o).Matches(l) {
			return o
		}
	}
	return nil
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func policyLabels(request Labels, service, customer *Object) Labels {
	l := make(Labels, len(request)+len(service.Labels)+len(customer.Labels)+2)
	for k, v := range request {
		l[k] = v
	}
	for k, v := range service.Labels {
		l["service."+k] = v
	}
	for k, v := range customer.Labels {
		l["customer."+k] = v
	}
	l["service"] = service.Name
	l["customer"] = customer.Name
	return l
}

// applyPolicies sets each option from the first matching policy that has it.
func (c *Catalog) applyPolicies(r *Resolution, l Labels) {
	var merged PolicySpec
	for _, o := range c.policies {
		if !selectorOf(o).Matches(l) {
			continue
		}
		r.Policies = append(r.Policies, o.Name)
		fillPolicy(&merged, o.Spec.(*PolicySpec))
	}
	if merged.Idempotent != nil {
		r.Idempotent = *merged.Idempotent
	}
	if merged.Class != "" {
		r.Class = merged.Class
	}
	if merged.Timeout != nil {
		r.Timeout = merged.Timeout.Std()
	}
	if merged.MaxAttempts != nil {
		r.MaxAttempts = *merged.MaxAttempts
	}
}

func fillPolicy(dst, src *PolicySpec) {
	if dst.Idempotent == nil {
		dst.Idempotent = src.Idempotent
	}
	if dst.Class == "" {
		dst.Class = src.Class
	}
	if dst.Timeout == nil {
		dst.Timeout = src.Timeout
	}
	if dst.MaxAttempts == nil {
		dst.MaxAttempts = src.MaxAttempts
	}
}

// Check returns the mistakes that only show beside other objects: selectors of
// equal priority that can match the same request and disagree.
func (c *Catalog) Check() []ObjectError {
	errs := overlaps(c.services, func(_, _ *Object) bool { return true })
	errs = append(errs, overlaps(c.customers, func(_, _ *Object) bool { return true })...)
	return append(errs, overlaps(c.policies, policiesDisagree)...)
}

func overlaps(list []*Object, conflict func(a, b *Object) bool) []ObjectError {
	var errs []ObjectError
	for i, a := range list {
		for _, b := range list[i+1:] {
			if priorityOf(a) != priorityOf(b) {
				break
			}
			if conflict(a, b) && selectorOf(a).Overlaps(selectorOf(b)) {
				errs = append(errs, ambiguous(a, b), ambiguous(b, a))
			}
		}
	}
	return errs
}

func ambiguous(a, b *Object) ObjectError {
	problem := fmt.Sprintf("ambiguous: a request can match this selector and that of %s (%q); make one narrower or give them different priorities", b.Key(), selectorOf(b))
	return ObjectError{Key: a.Key(), Field: "spec.selector", Problem: problem}
}

func policiesDisagree(a, b *Object) bool {
	p, q := a.Spec.(*PolicySpec), b.Spec.(*PolicySpec)
	return differ(p.Idempotent, q.Idempotent) ||
		differ(p.Timeout, q.Timeout) ||
		differ(p.MaxAttempts, q.MaxAttempts) ||
		p.Class != "" && q.Class != "" && p.Class != q.Class
}

func differ[T comparable](a, b *T) bool { return a != nil && b != nil && *a != *b }

// Customer returns the customer that request labels select, or nil.
func (c *Catalog) Customer(request Labels) *Object { return firstMatch(c.customers, request) }
