// Package isolate is the plug-in filter.isolate.
package isolate

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Filter{}) }

// ModuleInfo implements kernel.Module.
func (*Filter) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "filter.isolate", New: func() kernel.Module { return &Filter{} }}
}

var _ route.Filter = (*Filter)(nil)
