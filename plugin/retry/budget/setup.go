// Package budget implements the plug-in retry.budget, which limits retries to a share
// of first attempts.
package budget

import (
	"fmt"

	"jaylink/decision/retry"
	"jaylink/kernel"
)

func init() { kernel.Register(&Rule{}) }

// ModuleInfo implements kernel.Module.
func (*Rule) ModuleInfo() kernel.ModuleInfo {
	return kernel.ModuleInfo{ID: "retry.budget", New: func() kernel.Module {
		return &Rule{Share: defaultShare, Burst: defaultBurst}
	}}
}

// Provision implements kernel.Provisioner.
func (r *Rule) Provision() error {
	r.tokens = r.Burst
	return nil
}

// Validate implements kernel.Validator.
func (r *Rule) Validate() error {
	if r.Share < 0 || r.Share > 1 {
		return fmt.Errorf("share: %v is out of range; 0 to 1 is allowed", r.Share)
	}
	if r.Burst < 1 {
		return fmt.Errorf("burst: %v is too small; at least 1 is allowed", r.Burst)
	}
	return nil
}

var (
	_ retry.Rule         = (*Rule)(nil)
	_ retry.Observer     = (*Rule)(nil)
	_ kernel.Provisioner = (*Rule)(nil)
	_ kernel.Validator   = (*Rule)(nil)
)
