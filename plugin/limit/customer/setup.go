// Package customer implements the plug-in limit.customer, which limits the requests
// in flight of each customer.
package customer

import (
	"jaylink/decision/admission"
	"jaylink/kernel"
)

func init() { kernel.Register(&Limit{}) }

// ModuleInfo implements kernel.Module.
func (*Limit) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "limit.customer", New: func() kernel.Module { return &Limit{} }}
}

var _ admission.Limit = (*Limit)(nil)
