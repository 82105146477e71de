// Package leastloaded implements the plug-in scorer.leastloaded, which prefers the
// upstream that reported the fewest requests.
package leastloaded

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Scorer{}) }

// ModuleInfo implements kernel.Module.
func (*Scorer) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "scorer.leastloaded", New: func() kernel.Module { return &Scorer{} }}
}

var (
	_ route.Scorer     = (*Scorer)(nil)
	_ route.Exhaustive = (*Scorer)(nil)
)
