// Package prefix is the plug-in scorer.prefix.
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
