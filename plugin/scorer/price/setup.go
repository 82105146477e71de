// Package price is the plug-in scorer.price.
package price

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Scorer{}) }

// ModuleInfo implements kernel.Module.
func (*Scorer) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "scorer.price", New: func() kernel.Module { return &Scorer{Weight: 0.5} }}
}

var _ route.Scorer = (*Scorer)(nil)
