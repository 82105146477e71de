// Package suspect implements the plug-in filter.suspect, which excludes upstreams
// on which the request has failed or whose calls have been failing.
package suspect

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Filter{}) }

// ModuleInfo implements kernel.Module.
func (*Filter) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "filter.suspect", New: func() kernel.Module { return &Filter{} }}
}

var _ route.Filter = (*Filter)(nil)
