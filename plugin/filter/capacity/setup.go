// Package capacity implements the plug-in filter.capacity, which excludes
// upstreams without a free slot.
package capacity

import (
	"fmt"

	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Filter{}) }

// ModuleInfo implements kernel.Module.
func (*Filter) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "filter.capacity", New: func() kernel.Module {
		return &Filter{Reserved: defaultReserved}
	}}
}

// Validate implements kernel.Validator.
func (f *Filter) Validate() error {
	if f.Reserved < 0 || f.Reserved >= 1 {
		return fmt.Errorf("reserved: %v is out of range; 0 or more and less than 1 is allowed", f.Reserved)
	}
	return nil
}

var (
	_ route.Filter     = (*Filter)(nil)
	_ kernel.Validator = (*Filter)(nil)
)
