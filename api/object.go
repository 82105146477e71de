// Package api defines the objects that operators create, their labels and the
// selectors that match them, and their YAML and JSON forms.
//
// It does no I/O and does not read the clock. Most other packages of jaylink
// import it.
package api

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects that operators create.
const (
	KindService  Kind = "Service"
	KindCustomer Kind = "Customer"
	KindPolicy   Kind = "Policy"
	KindUpstream Kind = "Upstream"
)

// ConfigKinds lists the kinds that the configuration consists of.
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
	// check returns the validation errors of the spec. Their fields start with
	// "spec.".
	check() []FieldProblem
}

// FieldProblem is a validation error in one field of an object.
type FieldProblem struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error formats the error as "field: problem".
func (p FieldProblem) Error() string { return p.Field + ": " + p.Problem }

// Object is a named unit of configuration with the metadata of its last write.
type Object struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Labels Labels `json:"labels,omitempty"`
	// Version is the store's revision at the object's last write. It only
	// increases, even if the object is deleted and created again. Zero means
	// that the object has not been stored yet.
	Version uint64 `json:"version,omitempty"`
	// Writer identifies the write that produced this version. If the response
	// to a write is lost, it shows whether the write took effect.
	Writer string `json:"writer,omitempty"`
	// Operator is the person who wrote this version, as stated by the operator
	// command.
	Operator string `json:"operator,omitempty"`
	// Deleted marks a deleted object; its Spec is nil.
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

// Error returns a message with the unknown kind and the allowed ones.
func (e UnknownKindError) Error() string {
	return fmt.Sprintf("unknown kind %q; allowed are %v", e.Kind, ConfigKinds)
}

// UnmarshalJSON decodes the spec according to the kind and rejects unknown kinds.
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

// Check returns the validation errors of the object itself. Catalog.Check finds
// conflicts between objects.
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

// maxLabels is the maximum number of labels of one object.
const maxLabels = 64

// maxNameLength is the maximum length of an object's name in bytes.
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
