package standard

import (
	"fmt"

	"jaylink/decision"
	"jaylink/decision/admission"
	"jaylink/decision/retry"
	"jaylink/decision/route"
	"jaylink/kernel"
)

// Chain builds the named modules with their default options for an entry of a
// zone and region.
func Chain(zone, region string, ids []kernel.ModuleID) (decision.Config, error) {
	cfg := decision.Config{Zone: zone, Region: region}
	for _, id := range ids {
		m, err := kernel.Load(id, nil)
		if err != nil {
			return cfg, err
		}
		if err := Add(&cfg, m); err != nil {
			return cfg, err
		}
	}
	return cfg, nil
}

// Add puts a module into the chain that its interface belongs to.
func Add(cfg *decision.Config, m kernel.Module) error {
	switch m := m.(type) {
	case route.Filter:
		cfg.Filters = append(cfg.Filters, m)
	case route.Scorer:
		cfg.Scorers = append(cfg.Scorers, m)
	case admission.Limit:
		cfg.Limits = append(cfg.Limits, m)
	case retry.Rule:
		cfg.Rules = append(cfg.Rules, m)
	default:
		return fmt.Errorf("module %s can't be used in the chain", m.ModuleInfo().ID)
	}
	return nil
}
