// Package patience implements the plug-in filter.patience, which makes patient
// requests wait a short time for a cheap upstream that has their prefix cached or assigned.
package patience

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Filter{}) }

// ModuleInfo implements kernel.Module.
func (*Filter) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "filter.patience", New: func() kernel.Module {
		return &Filter{Wait: defaultWait, MaxPrice: defaultMaxPrice}
	}}
}

var _ route.DeferringFilter = (*Filter)(nil)
