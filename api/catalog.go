package api

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Default values of optional spec fields.
const (
	DefaultTimeout     = 5 * time.Minute
	DefaultMaxAttempts = 3
	DefaultQueueLength = 256
	DefaultSlots       = 8
	DefaultWeight      = 1.0
)

// Catalog is an immutable set of objects, grouped by kind and sorted for matching
// requests.
type Catalog struct {
	services  []*Object // in the order of comparePriority
	customers []*Object
	policies  []*Object
	upstreams []*Object
}

// NewCatalog returns a catalog of the objects. Deleted objects and objects without
// a spec are omitted.
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
		slices.SortFunc(list, comparePriority)
	}
	return c
}

// comparePriority sorts objects by descending priority. At equal priority, the
// lower version comes first: versions are the same on all entries, so all of them
// resolve a conflict between objects that two operators created concurrently in
// the same way.
func comparePriority(a, b *Object) int {
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

// Upstreams returns the upstream objects. The caller must not modify them.
func (c *Catalog) Upstreams() []*Object { return c.upstreams }

// Services returns the service objects. The caller must not modify them.
func (c *Catalog) Services() []*Object { return c.services }

// Objects returns all objects of the catalog, grouped by kind.
func (c *Catalog) Objects() []*Object {
	return slices.Concat(c.services, c.customers, c.policies, c.upstreams)
}

// Resolution holds the service, the customer and the options that apply to a
// request.
type Resolution struct {
	Service  *Object
	Customer *Object
	// Policies are the names of the matching policies, highest priority first.
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

// Resolve selects the service, customer and policies of a request by its labels.
// If no service or no customer matches, that field is nil and Resolve returns
// false.
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

// policyLabels returns the labels that the selectors of policies match: those of
// the request, the names of its service and customer, and their labels with the
// prefixes "service." and "customer.".
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

// applyPolicies sets each option to the value of the first matching policy that
// specifies it.
func (c *Catalog) applyPolicies(r *Resolution, l Labels) {
	var merged PolicySpec
	for _, o := range c.policies {
		if !selectorOf(o).Matches(l) {
			continue
		}
		r.Policies = append(r.Policies, o.Name)
		setMissingOptions(&merged, o.Spec.(*PolicySpec))
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

// setMissingOptions copies to dst the options that only src specifies.
func setMissingOptions(dst, src *PolicySpec) {
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

// Check returns the errors that involve two objects: services, customers or
// policies of equal priority whose selectors can match the same request. Policies
// are reported only if they set an option to different values.
func (c *Catalog) Check() []ObjectError {
	errs := findAmbiguities(c.services, func(_, _ *Object) bool { return true })
	errs = append(errs, findAmbiguities(c.customers, func(_, _ *Object) bool { return true })...)
	return append(errs, findAmbiguities(c.policies, policiesDisagree)...)
}

// findAmbiguities returns an error for both objects of each pair with equal
// priority and overlapping selectors for which conflict returns true. The list
// must be sorted by priority.
func findAmbiguities(list []*Object, conflict func(a, b *Object) bool) []ObjectError {
	var errs []ObjectError
	for i, a := range list {
		for _, b := range list[i+1:] {
			if priorityOf(a) != priorityOf(b) {
				break
			}
			if conflict(a, b) && selectorOf(a).Overlaps(selectorOf(b)) {
				errs = append(errs, ambiguityError(a, b), ambiguityError(b, a))
			}
		}
	}
	return errs
}

func ambiguityError(a, b *Object) ObjectError {
	problem := fmt.Sprintf("ambiguous: a request can match this selector and that of %s (%q); make one narrower or give them different priorities", b.Key(), selectorOf(b))
	return ObjectError{Key: a.Key(), Field: "spec.selector", Problem: problem}
}

func policiesDisagree(a, b *Object) bool {
	p, q := a.Spec.(*PolicySpec), b.Spec.(*PolicySpec)
	return setDifferently(p.Idempotent, q.Idempotent) ||
		setDifferently(p.Timeout, q.Timeout) ||
		setDifferently(p.MaxAttempts, q.MaxAttempts) ||
		p.Class != "" && q.Class != "" && p.Class != q.Class
}

// setDifferently reports whether both values are set and differ.
func setDifferently[T comparable](a, b *T) bool { return a != nil && b != nil && *a != *b }

// Customer returns the customer whose selector matches the labels of a request, or
// nil.
func (c *Catalog) Customer(request Labels) *Object { return firstMatch(c.customers, request) }
