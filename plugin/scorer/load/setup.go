// Package load implements the plug-in scorer.load, which prefers upstreams with free
// slots.
package load

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Scorer{}) }

// ModuleInfo implements kernel.Module.
func (*Scorer) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "scorer.load", New: func() kernel.Module {
		return &Scorer{Weight: 0.3, PatientWeight: 0.1, UnseenWeight: 0.5, CrowdedPenalty: 4}
	}}
}

var _ route.Scorer = (*Scorer)(nil)
