package api

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Change describes how one field differs between two versions of an object.
type Change struct {
	// Field is the dotted path, for example "labels.tier".
	Field string `json:"field"`
	// From and To are the JSON encodings of the values; "" if the field is unset.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff returns the changed labels and spec fields, sorted by field. Either object
// may be nil.
func Diff(from, to *Object) []Change {
	a, b := flatten(from), flatten(to)
	fields := slices.Sorted(maps.Keys(a))
	for field := range b {
		if _, ok := a[field]; !ok {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	var out []Change
	for _, field := range fields {
		if a[field] != b[field] {
			out = append(out, Change{Field: field, From: a[field], To: b[field]})
		}
	}
	return out
}

// flatten returns the JSON encodings of an object's labels and spec fields by
// dotted path. It returns none for a nil or deleted object.
func flatten(o *Object) map[string]string {
	out := map[string]string{}
	if o == nil || o.Deleted {
		return out
	}
	for key, value := range o.Labels {
		out["labels."+key] = encodeText(value)
	}
	data, err := json.Marshal(o.Spec)
	if err != nil || o.Spec == nil {
		return out
	}
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(data, &fields) != nil {
		return out
	}
	for field, value := range fields {
		out["spec."+field] = string(value)
	}
	return out
}

// encodeText returns the JSON encoding of a string without escaping HTML
// characters.
func encodeText(s string) string {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if enc.Encode(s) != nil {
		return s
	}
	return string(bytes.TrimSpace(b.Bytes()))
}
