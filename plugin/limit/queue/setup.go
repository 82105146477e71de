// Package queue is the plug-in limit.queue.
package queue

import (
	"jaylink/decision/admission"
	"jaylink/kernel"
)

func init() { kernel.Register(&Limit{}) }

// ModuleInfo implements kernel.Module.
func (*Limit) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "limit.queue", New: func() kernel.Module { return &Limit{} }}
}

var _ admission.Limit = (*Limit)(nil)
