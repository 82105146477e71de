package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// DecodeJSON decodes an object sent by an operator. It rejects unknown fields,
// unlike UnmarshalJSON, which has to accept objects that are stored on the
// platform or sent by peers of a newer version. If the spec is missing, Spec is
// nil and Check reports it.
func DecodeJSON(data []byte) (*Object, error) {
	var e struct {
		Kind     Kind            `json:"kind"`
		Name     string          `json:"name"`
		Labels   Labels          `json:"labels"`
		Version  uint64          `json:"version"`
		Writer   string          `json:"writer"`
		Operator string          `json:"operator"`
		Spec     json.RawMessage `json:"spec"`
	}
	if err := DecodeStrict(data, &e); err != nil {
		return nil, err
	}
	o := &Object{Kind: e.Kind, Name: e.Name, Labels: e.Labels, Version: e.Version}
	spec := NewSpec(e.Kind)
	if spec == nil {
		return nil, UnknownKindError{Kind: e.Kind}
	}
	if isNull(e.Spec) {
		return o, nil
	}
	if err := DecodeStrict(e.Spec, spec); err != nil {
		return nil, fmt.Errorf("%s: spec: %w", o.Key(), err)
	}
	o.Spec = spec
	return o, nil
}

// DecodeStrict decodes exactly one JSON value. It rejects null, unknown fields and
// trailing data.
func DecodeStrict(data []byte, out any) error {
	if isNull(data) {
		return errors.New("want an object, found null")
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is more text after the JSON value")
	}
	return nil
}

func isNull(data []byte) bool {
	text := bytes.TrimSpace(data)
	return len(text) == 0 || string(text) == "null"
}
