package entry

import (
	"jaylink/decision"
	"jaylink/decision/recovery"
	"jaylink/kernel"
	"jaylink/plugin/standard"
)

// buildChain returns the configuration of the decision core with the modules that
// the settings name or, if they name none, the standard modules.
func buildChain(s Settings) (decision.Config, error) {
	cfg := decision.Config{Zone: s.AvailabilityZone, Region: s.Region, Recovery: recovery.NewPlanner(s.Recovery.rates())}
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
		if err := standard.Add(&cfg, m); err != nil {
			return cfg, err
		}
	}
	return cfg, nil
}

// loadModule creates a module with its options.
func loadModule(p PluginSettings) (kernel.Module, error) {
	return kernel.Load(kernel.ModuleID(p.ID), func(m kernel.Module) error {
		if p.Options.IsZero() {
			return nil
		}
		return p.Options.Decode(m)
	})
}
