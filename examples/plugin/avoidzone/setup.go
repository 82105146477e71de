// Package avoidzone has the plug-in filter.avoid_zone, the worked example of
// CONTRIBUTING.md. It is not part of the jaylink binary, since plugin/standard does
// not import it.
package avoidzone

import (
	"errors"

	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Filter{}) }

// ModuleInfo implements kernel.Module.
func (*Filter) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "filter.avoid_zone", New: func() kernel.Module { return &Filter{} }}
}

// Validate implements kernel.Validator.
func (f *Filter) Validate() error {
	if len(f.Zones) == 0 {
		return errors.New("zones: missing; name at least one availability zone")
	}
	return nil
}

var (
	_ route.Filter     = (*Filter)(nil)
	_ kernel.Validator = (*Filter)(nil)
)
