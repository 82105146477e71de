package entry

import (
	"encoding"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"jaylink/internal/strictyaml"
)

// Override replaces one field of a settings file.
type Override struct {
	// Field is the dotted path of the field, for example "listen.caller".
	Field string
	// Value has the same syntax as in the file. The values of a list are
	// separated by commas or spaces.
	Value string
	// Source is the origin of the value, for error messages.
	Source string
}

// environmentPrefix is the prefix of the environment variables that override
// settings.
const environmentPrefix = "JAYLINK_"

// EnvironmentName returns the environment variable that overrides a field. For
// "listen.caller" it is JAYLINK_LISTEN_CALLER.
func EnvironmentName(field string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(field, ".", "_"))
}

// EnvironmentOverrides returns the overrides from environment variables. lookup
// is os.LookupEnv except in tests.
func EnvironmentOverrides(lookup func(string) (string, bool)) []Override {
	var out []Override
	for _, f := range overridableFields() {
		name := EnvironmentName(f.path)
		if value, ok := lookup(name); ok {
			out = append(out, Override{Field: f.path, Value: value, Source: "environment " + name})
		}
	}
	return out
}

// FlagOverride parses the value "FIELD=VALUE" of a flag --set.
func FlagOverride(text string) (Override, error) {
	field, value, ok := strings.Cut(text, "=")
	if !ok {
		return Override{}, fmt.Errorf("flag --set: %q: want FIELD=VALUE", text)
	}
	return Override{Field: field, Value: value, Source: "flag --set"}, nil
}

func applyOverrides(doc *strictyaml.Document, overrides []Override) []error {
	var errs []error
	fields := overridableFields()
	for _, o := range overrides {
		i := slices.IndexFunc(fields, func(f settingsField) bool { return f.path == o.Field })
		if i < 0 {
			errs = append(errs, strictyaml.FieldError{File: o.Source, Field: o.Field, Problem: "unknown field, or one that only the file can set"})
			continue
		}
		if err := setOverride(doc, o, fields[i].list); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

func setOverride(doc *strictyaml.Document, o Override, list bool) error {
	if !list {
		return doc.Override(o.Field, o.Value, o.Source)
	}
	values := strings.FieldsFunc(o.Value, func(r rune) bool { return r == ',' || r == ' ' })
	return doc.OverrideList(o.Field, values, o.Source)
}

// settingsField is a field that environment variables and flags can override.
type settingsField struct {
	path string
	list bool
}

// overridableFields returns the fields whose type is a scalar or a list of
// strings.
func overridableFields() []settingsField {
	return scalarFields(reflect.TypeFor[Settings](), "")
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func scalarFields(t reflect.Type, prefix string) []settingsField {
	var out []settingsField
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + f.Tag.Get("yaml")
		switch {
		case reflect.PointerTo(f.Type).Implements(textUnmarshaler):
			out = append(out, settingsField{path: path})
		case f.Type.Kind() == reflect.Struct:
			out = append(out, scalarFields(f.Type, path+".")...)
		case f.Type.Kind() != reflect.Slice:
			out = append(out, settingsField{path: path})
		case f.Type.Elem().Kind() == reflect.String:
			out = append(out, settingsField{path: path, list: true})
		}
	}
	return out
}
