// Package api defines the objects that operators create, their labels and the
// selectors that match them, and their YAML and JSON forms.
//
// It does no I/O and reads no clock. Everything else in jaylink imports it.
package api

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Kind names a kind of object.
type Kind string

// The kinds that operators create.
const (
	KindService  Kind = "Service"
	KindCustomer Kind = "Customer"
	KindPolicy   Kind = "Policy"
	KindUpstream Kind = "Upstream"
)

// ConfigKinds lists the kinds that make up the configuration.
var ConfigKinds = []Kind{KindService, KindCustomer, KindPolicy, KindUpstream}

// Key identifies an object.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String formats the key as "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Spec is the kind-specific part of an object.
type Spec interface {
	// check returns the mistakes of the spec, with fields below "spec".
	check() []FieldProblem
}

// FieldProblem is a mistake in one field of an object.
type FieldProblem struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error formats the mistake as "field: problem".
func (p FieldProblem) Error() string { return p.Field + ": " + p.Problem }

// Object is one piece of configuration.
type Object struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Version is the store's revision at the object's last write; it only
	// rises, through deletions too. Zero means not stored yet.
	Version uint64 `json:"version,omitempty"`
	// Writer identifies the write that produced this version. It settles
	// whether a write whose answer was lost took effect.
	Writer string `json:"writer,omitempty"`
	// Operator names who wrote this version, as the operator command said.
	Operator string `json:"operator,omitempty"`
	// Deleted marks a deletion; Spec is then nil.
	Deleted bool `json:"deleted,omitempty"`
	Spec    Spec `json:"spec,omitempty"`
}

// Key returns the object's identity.
func (o *Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// NewSpec returns an empty spec of the kind, or nil for an unknown kind.
func NewSpec(kind Kind) Spec {
	switch kind {
	case KindService:
		return &ServiceSpec{}
	case KindCustomer:
		return &CustomerSpec{}
	case KindPolicy:
		return &PolicySpec{}
	case KindUpstream:
		return &UpstreamSpec{}
	}
	return nil
}

// UnknownKindError is returned for a kind that is not one of ConfigKinds.
type UnknownKindError struct{ Kind Kind }

// Error names the kind and the ones that are allowed.
func (e UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind %q; allowed are %v", e.Kind, ConfigKinds)
}

// UnmarshalJSON decodes the spec by kind and refuses unknown kinds.
func (o *Object) UnmarshalJSON(data []byte) error {
	type plain Object
	raw := struct {
		*plain
		Spec json.RawMessage `json:"spec"`
	}{plain: (*plain)(o)}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if !slices.Contains(ConfigKinds, o.Kind) {
		return UnknownKindError{Kind: o.Kind}
	}
	if len(raw.Spec) == 0 || string(raw.Spec) == "null" {
		if !o.Deleted {
			o.Spec = NewSpec(o.Kind)
		}
		return nil
	}
	o.Spec = NewSpec(o.Kind)
	return json.Unmarshal(raw.Spec, o.Spec)
}

// Check returns the mistakes of the object on its own; Catalog finds those
// that only show beside other objects.
func (o *Object) Check() []FieldProblem {
	var problems []FieldProblem
	if err := checkName(o.Name); err != nil {
		problems = append(problems, FieldProblem{"name", err.Error()})
	}
	if len(o.Labels) > maxLabels {
		problems = append(problems, FieldProblem{"labels", fmt.Sprintf("%d labels; at most %d are allowed", len(o.Labels), maxLabels)})
	}
	for _, key := range sortedKeys(o.Labels) {
		if err := CheckLabelKey(key); err != nil {
			problems = append(problems, FieldProblem{"labels", err.Error()})
		}
		if err := CheckLabelValue(o.Labels[key]); err != nil {
			problems = append(problems, FieldProblem{"labels." + key, err.Error()})
		}
	}
	if o.Spec == nil {
		return append(problems, FieldProblem{"spec", "missing"})
	}
	return append(problems, o.Spec.check()...)
}

// maxLabels bounds the labels of one object.
const maxLabels = 64

// maxNameLength bounds an object's name in bytes.
const maxNameLength = 100

func checkName(name string) error {
	if name == "" {
		return fmt.Errorf("missing")
	}
	if len(name) > maxNameLength {
		return fmt.Errorf("%d bytes long, at most %d are allowed", len(name), maxNameLength)
	}
	for _, r := range name {
		ok := r == '-' || r == '.' || r == '_' || ('a' <= r && r <= 'z') || ('0' <= r && r <= '9')
		if !ok {
			return fmt.Errorf("%q has %q; allowed are a-z, 0-9, '-', '_' and '.'", name, r)
		}
	}
	return nil
}

func sortedKeys(l Labels) []string {
	keys := make([]string, 0, len(l))
	for k := range l {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
