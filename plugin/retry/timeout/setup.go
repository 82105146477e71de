// Package timeout implements the plug-in retry.timeout, which limits the duration of
// one attempt on a plain service.
package timeout

import (
	"jaylink/decision/retry"
	"jaylink/kernel"
)

func init() { kernel.Register(&Rule{}) }

// ModuleInfo implements kernel.Module.
func (*Rule) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "retry.timeout", New: func() kernel.Module {
		return &Rule{Urgent: defaultUrgent, Interactive: defaultInteractive, Patient: defaultPatient}
	}}
}

var (
	_ retry.Rule    = (*Rule)(nil)
	_ retry.Limiter = (*Rule)(nil)
)
