// Package roundrobin implements the plug-in scorer.roundrobin, which uses the
// upstreams in turn.
package roundrobin

import (
	"jaylink/decision/route"
	"jaylink/kernel"
)

func init() { kernel.Register(&Scorer{}) }

// ModuleInfo implements kernel.Module.
func (*Scorer) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "scorer.roundrobin", New: func() kernel.Module { return &Scorer{} }}
}

var (
	_ route.Scorer     = (*Scorer)(nil)
	_ route.Exhaustive = (*Scorer)(nil)
)
