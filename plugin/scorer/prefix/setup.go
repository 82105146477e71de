// Package prefix implements the plug-in scorer.prefix, which prefers upstreams that
// have the start of the prompt in their cache.
package prefix

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Scorer{}) }

// ModuleInfo implements kernel.Module.
func (*Scorer) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "scorer.prefix", New: func() kernel.Module {
		return &Scorer{Interactive: defaultInteractive, Patient: defaultPatient, First: defaultFirst, Second: defaultSecond}
	}}
}

var _ route.Scorer = (*Scorer)(nil)
