// Package price implements the plug-in scorer.price, which prefers cheap upstreams
// and, at the same price, those with a smaller share of busy slots.
package price

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Scorer{}) }

// ModuleInfo implements kernel.Module.
func (*Scorer) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "scorer.price", New: func() kernel.Module {
		return &Scorer{Patient: defaultPatient, Interactive: defaultInteractive, Urgent: defaultUrgent, Slowdown: defaultSlowdown}
	}}
}

var _ route.Scorer = (*Scorer)(nil)
