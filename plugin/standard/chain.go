package standard

import (
	"fmt"

	"jaylink/decision"
	"jaylink/decision/admission"
	"jaylink/decision/retry"
	"jaylink/decision/route"
	"jaylink/kernel"
)

// Chain returns the configuration of the decision core of an entry in a zone and
// region that uses the given modules with their default options.
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

// Add appends a module to the filters, scorers, limits or retry rules of cfg, depending
// on the interface that it implements.
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
		return fmt.Errorf("module %s is not a filter, scorer, limit or retry rule", m.ModuleInfo().ID)
	}
	return nil
}
