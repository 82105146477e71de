// Package deadline implements the plug-in limit.deadline, which refuses requests
// that are expected to miss their deadline in the queue.
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
