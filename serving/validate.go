package serving

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// ErrInvalid means that a configuration can't be served as it is.
var ErrInvalid = errors.New("invalid configuration")

// Validate reports everything in the configuration that can't be served: no routes, routes to
// services that are not in it, prefixes, weights, times and amounts out of range, and empty
// API keys. The errors wrap ErrInvalid. It must be called after Index.
func (c *Configuration) Validate() error {
	var errs []error
	if len(c.Routes) == 0 {
		errs = append(errs, invalidField("routes", "there are none"))
	}
	for i := range c.Routes {
		errs = append(errs, c.validateRoute(&c.Routes[i]))
	}
	for i := range c.Customers {
		errs = append(errs, c.Customers[i].validate())
	}
	errs = append(errs, requireAmounts("limits", map[string]float64{
		"max-header-bytes": float64(c.Limits.MaxHeaderBytes), "max-body-bytes": float64(c.Limits.MaxBodyBytes),
		"header-timeout": c.Limits.HeaderTimeout.Seconds(), "idle-timeout": c.Limits.IdleTimeout.Seconds(),
	}))
	return errors.Join(errs...)
}

func invalidField(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, args...))
}

func (c *Configuration) validateRoute(r *Route) error {
	field := fmt.Sprintf("route %q", r.Name)
	var errs []error
	if r.Host == "" {
		errs = append(errs, invalidField(field, "it has no host"))
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		errs = append(errs, invalidField(field, "prefix %q does not begin and end with a slash", r.PathPrefix))
	}
	total := 0
	for _, t := range r.Targets {
		if c.Service(t.Service) == nil {
			errs = append(errs, invalidField(field, "service %q does not exist", t.Service))
		}
		if t.Weight < 0 {
			errs = append(errs, invalidField(field, "weight %d of service %q", t.Weight, t.Service))
		}
		total += max(t.Weight, 0)
	}
	if total == 0 {
		errs = append(errs, invalidField(field, "no target has a weight"))
	}
	errs = append(errs, requireTimes(field, r.Timeout, r.Objective, r.PauseObjective))
	return errors.Join(errs...)
}

func (c *Customer) validate() error {
	field := fmt.Sprintf("customer %q", c.Name)
	var errs []error
	if c.Name == "" {
		errs = append(errs, invalidField(field, "it has no name"))
	}
	for _, key := range c.Keys {
		if key == "" {
			errs = append(errs, invalidField(field, "an API key is empty"))
		}
	}
	errs = append(errs, requireAmounts(field, map[string]float64{"rate": c.Rate, "burst": c.Burst, "default tokens": float64(c.DefaultTokens)}))
	return errors.Join(errs...)
}

func requireTimes(field string, times ...time.Duration) error {
	for _, d := range times {
		if d < 0 {
			return invalidField(field, "negative time %v", d)
		}
	}
	return nil
}

func requireAmounts(field string, amounts map[string]float64) error {
	for name, n := range amounts {
		if !(n >= 0) {
			return invalidField(field, "%s is %v", name, n)
		}
	}
	return nil
}
