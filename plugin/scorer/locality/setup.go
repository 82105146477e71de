// Package locality implements the plug-in scorer.locality, which prefers upstreams
// near the entry.
package locality

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Scorer{}) }

// ModuleInfo implements kernel.Module.
func (*Scorer) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "scorer.locality", New: func() kernel.Module {
		return &Scorer{
			OtherZone: defaultOtherZone, OtherRegion: defaultOtherRegion, OverBudget: defaultOverBudget,
			LinkRate: defaultLinkRate, RequestBytes: defaultRequestBytes,
		}
	}}
}

var (
	_ route.Scorer        = (*Scorer)(nil)
	_ route.StartObserver = (*Scorer)(nil)
)
