package api

import (
	"errors"
	"fmt"
	"slices"

	"jaylink/internal/strictyaml"
)

// Source is an object and the YAML document that it was decoded from.
type Source struct {
	Object *Object
	doc    *strictyaml.Document
}

// Errorf returns an error with the file and line of the field.
func (s Source) Errorf(field, format string, args ...any) error {
	return s.doc.Errorf(field, format, args...)
}

// Objects returns the objects of the sources in the same order.
func Objects(sources []Source) []*Object {
	var objects []*Object
	for _, s := range sources {
		objects = append(objects, s.Object)
	}
	return objects
}

// envelope is the YAML representation of an object with a spec of type S.
type envelope[S any] struct {
	Kind   Kind   `yaml:"kind"`
	Name   string `yaml:"name"`
	Labels Labels `yaml:"labels"`
	Spec   S      `yaml:"spec"`
}

// DecodeYAML decodes and checks the objects of a file, one per YAML document. The
// returned error joins all errors found; each has the file, line and field.
func DecodeYAML(file string, data []byte) ([]Source, error) {
	docs, err := strictyaml.Split(file, data)
	if err != nil {
		return nil, err
	}
	var sources []Source
	var errs []error
	for _, doc := range docs {
		o, docErrs := decodeDocument(doc)
		if len(docErrs) > 0 {
			errs = append(errs, docErrs...)
			continue
		}
		s := Source{Object: o, doc: doc}
		for _, p := range o.Check() {
			errs = append(errs, s.Errorf(p.Field, "%s", p.Problem))
		}
		sources = append(sources, s)
	}
	errs = append(errs, duplicateErrors(sources)...)
	return sources, errors.Join(errs...)
}

// duplicateErrors returns an error for each object whose key an earlier object has.
func duplicateErrors(sources []Source) []error {
	var errs []error
	var seen []Key
	for _, s := range sources {
		if slices.Contains(seen, s.Object.Key()) {
			errs = append(errs, s.Errorf("name", "%s is defined twice", s.Object.Key()))
		}
		seen = append(seen, s.Object.Key())
	}
	return errs
}

func decodeDocument(doc *strictyaml.Document) (*Object, []error) {
	switch kind := Kind(doc.Scalar("kind")); kind {
	case KindService:
		return decodeAs[ServiceSpec](doc)
	case KindCustomer:
		return decodeAs[CustomerSpec](doc)
	case KindPolicy:
		return decodeAs[PolicySpec](doc)
	case KindUpstream:
		return decodeAs[UpstreamSpec](doc)
	default:
		return nil, []error{doc.Errorf("kind", "%s", UnknownKindError{Kind: kind}.Error())}
	}
}

func decodeAs[S any, P interface {
	*S
	Spec
}](doc *strictyaml.Document) (*Object, []error) {
	var e envelope[S]
	if errs := doc.Decode(&e); len(errs) > 0 {
		return nil, errs
	}
	return &Object{Kind: e.Kind, Name: e.Name, Labels: e.Labels, Spec: P(&e.Spec)}, nil
}

// ObjectError is a validation error in one of several objects.
type ObjectError struct {
	Key     Key    `json:"key"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Error formats the error as "Kind/name: field: problem".
func (e ObjectError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Key, e.Field, e.Problem)
}
