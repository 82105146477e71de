// Package leaving implements the plug-in filter.leaving, which excludes upstreams
// that are leaving.
package leaving

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Filter{}) }

// ModuleInfo implements kernel.Module.
func (*Filter) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "filter.leaving", New: func() kernel.Module { return &Filter{} }}
}

var _ route.Filter = (*Filter)(nil)
