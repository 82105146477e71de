// Package isolate implements the plug-in filter.isolate, which keeps requests
// that were running on a crashed upstream apart.
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
