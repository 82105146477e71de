package entry

import (
	"fmt"

	"jaylink/decision"
	"jaylink/decision/admission"
	"jaylink/decision/retry"
	"jaylink/decision/route"
	"jaylink/kernel"
	"jaylink/plugin/standard"
)

// chain builds the modules that the settings name, or the standard ones.
func chain(s Settings) (decision.Config, error) {
	cfg := decision.Config{Zone: s.AvailabilityZone, Region: s.Region}
	plugins := s.Plugins
	if len(plugins) == 0 {
		for _, id := range standard.Order {
			plugins = append(plugins, PluginSettings{ID: string(id)})
		}
	}
	for _, p := range plugins {
		m, err := loadModule(p)
		if err != nil {
			return cfg, err
		}
		if err := addModule(&cfg, m); err != nil {
			return cfg, err
		}
	}
	return cfg, nil
}

// loadModule builds one module with its options.
func loadModule(p PluginSettings) (kernel.Module, error) {
	return kernel.Load(kernel.ModuleID(p.ID), func(m kernel.Module) error {
		if p.Options.IsZero() {
			return nil
		}
		return p.Options.Decode(m)
	})
}

func addModule(cfg *decision.Config, m kernel.Module) error {
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
