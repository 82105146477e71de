// Package kernel provides the registry of plug-in modules and the lifecycle of
// long-running components.
//
// Modules register themselves in an init function under a dotted ID such as
// "filter.leaving". Package plugin/standard imports all modules that are part of
// jaylink. Package kernel imports no other package of jaylink.
package kernel

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// ModuleID identifies a module, for example "scorer.price". The part before
// the first dot is the namespace, which determines the interface that the module
// implements.
type ModuleID string

// Namespace returns the part of the ID before the first dot.
func (id ModuleID) Namespace() string {
	ns, _, _ := strings.Cut(string(id), ".")
	return ns
}

// Name returns the part of the ID after the first dot.
func (id ModuleID) Name() string {
	_, name, _ := strings.Cut(string(id), ".")
	return name
}

// ModuleInfo describes a registered module.
type ModuleInfo struct {
	// ID is the dotted name. It is unique in the process.
	ID ModuleID
	// New returns a new module with its default options.
	New func() Module
}

// Module is implemented by every plug-in.
type Module interface {
	// ModuleInfo describes the module. The result must not depend on the
	// receiver.
	ModuleInfo() ModuleInfo
}

var (
	modulesMu sync.RWMutex
	modules   = map[ModuleID]ModuleInfo{}
)

// Register adds a module to the registry. It is called from init functions
// and panics on a malformed or duplicate ID or a missing constructor, because these
// are programming errors.
func Register(m Module) {
	info := m.ModuleInfo()
	if info.ID.Namespace() == "" || info.ID.Name() == "" {
		panic(fmt.Sprintf("kernel: module ID %q is not of the form namespace.name", info.ID))
	}
	if info.New == nil {
		panic(fmt.Sprintf("kernel: module %q has no constructor", info.ID))
	}
	modulesMu.Lock()
	defer modulesMu.Unlock()
	if _, ok := modules[info.ID]; ok {
		panic(fmt.Sprintf("kernel: module %q registered twice", info.ID))
	}
	modules[info.ID] = info
}

// Lookup returns the module registered under id.
func Lookup(id ModuleID) (ModuleInfo, bool) {
	modulesMu.RLock()
	defer modulesMu.RUnlock()
	info, ok := modules[id]
	return info, ok
}

// Modules returns the sorted IDs of the modules registered in a namespace.
func Modules(namespace string) []ModuleID {
	modulesMu.RLock()
	defer modulesMu.RUnlock()
	var ids []ModuleID
	for id := range modules {
		if id.Namespace() == namespace {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Load creates the module id with its default options, calls configure, unless it
// is nil, to set options, and then calls Provision and Validate if the module
// implements them.
func Load(id ModuleID, configure func(Module) error) (Module, error) {
	info, ok := Lookup(id)
	if !ok {
		return nil, fmt.Errorf("module %q is not registered; the modules in namespace %q are %v", id, id.Namespace(), Modules(id.Namespace()))
	}
	m := info.New()
	if configure != nil {
		if err := configure(m); err != nil {
			return nil, fmt.Errorf("module %s: options: %w", id, err)
		}
	}
	if p, ok := m.(Provisioner); ok {
		if err := p.Provision(); err != nil {
			return nil, fmt.Errorf("module %s: provision: %w", id, err)
		}
	}
	if v, ok := m.(Validator); ok {
		if err := v.Validate(); err != nil {
			return nil, fmt.Errorf("module %s: validate: %w", id, err)
		}
	}
	return m, nil
}
