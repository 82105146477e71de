// Package queue implements the plug-in limit.queue, which refuses requests if the
// queue of their service is full or the customer has its share of a half-full queue.
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
