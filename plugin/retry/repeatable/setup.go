// Package repeatable implements the plug-in retry.repeatable, which allows a
// retry only if the request is idempotent or certainly not executed yet.
package repeatable

import (
	"jaylink/decision/retry"
	"jaylink/kernel"
)

func init() { kernel.Register(&Rule{}) }

// ModuleInfo implements kernel.Module.
func (*Rule) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "retry.repeatable", New: func() kernel.Module {
		return &Rule{BaseDelay: defaultBaseDelay, MaxDelay: defaultMaxDelay}
	}}
}

var _ retry.Rule = (*Rule)(nil)
