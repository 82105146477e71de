// Package deadline is the plug-in limit.deadline.
package deadline

import (
	"jaylink/decision/admission"
	"jaylink/kernel"
)

func init() { kernel.Register(&Limit{}) }

// ModuleInfo implements kernel.Module.
func (*Limit) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "limit.deadline", New: func() kernel.Module { return &Limit{} }}
}

var _ admission.Limit = (*Limit)(nil)
