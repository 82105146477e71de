// Package strictyaml decodes YAML into structs and reports every error with its file,
// line and field. Unknown fields are errors. It is used for objects and for settings.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// FieldError is one error in a YAML file.
type FieldError struct {
	File    string // path as given by the caller, or the source of an override
	Line    int    // 1-based; 0 if unknown
	Field   string // dotted path, for example "spec.selector"
	Problem string // what was found and what is allowed
}

// Error formats the error as "file:line: field: problem".
func (e FieldError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return place + ": " + e.Problem
	}
	return place + ": " + e.Field + ": " + e.Problem
}

// Document is one YAML document of a file.
type Document struct {
	File  string
	root  *yaml.Node
	lines map[string]int
	paths map[int]string
	nodes map[string]*yaml.Node
	// sources has the sources of overrides, by the line numbers that represent the
	// overrides in the node tree.
	sources map[int]string
}

func newDocument(file string, root *yaml.Node) *Document {
	d := &Document{
		File: file, root: root, lines: map[string]int{}, paths: map[int]string{},
		nodes: map[string]*yaml.Node{}, sources: map[int]string{},
	}
	d.index(root, "")
	return d
}

// Split parses a file into its documents and skips empty ones.
func Split(file string, data []byte) ([]*Document, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var docs []*Document
	for {
		var node yaml.Node
		err := dec.Decode(&node)
		if errors.Is(err, io.EOF) {
			return docs, nil
		}
		if err != nil {
			return nil, syntaxError(file, err)
		}
		if len(node.Content) == 0 || node.Content[0].Tag == "!!null" {
			continue
		}
		docs = append(docs, newDocument(file, node.Content[0]))
	}
}

// One parses a file that must have exactly one document.
func One(file string, data []byte) (*Document, error) {
	docs, err := Split(file, data)
	if err != nil {
		return nil, err
	}
	if len(docs) != 1 {
		return nil, FieldError{File: file, Line: 1, Problem: "want exactly one YAML document"}
	}
	return docs[0], nil
}

var lineRE = regexp.MustCompile(`^(?:yaml: )?line (\d+): (?s:(.*))$`)

func syntaxError(file string, err error) error {
	if m := lineRE.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		return FieldError{File: file, Line: line, Problem: m[2]}
	}
	return FieldError{File: file, Line: 1, Problem: err.Error()}
}

// index records the node and the line of each field.
func (d *Document) index(n *yaml.Node, path string) {
	d.nodes[path] = n
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = n.Line
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			child := join(path, n.Content[i].Value)
			d.lines[child] = n.Content[i].Line
			d.paths[n.Content[i+1].Line] = child
			d.index(n.Content[i+1], child)
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			d.index(c, fmt.Sprintf("%s[%d]", path, i))
		}
	}
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// Has reports whether the document has a top-level field.
func (d *Document) Has(field string) bool { return child(d.root, field) != nil }

// Scalar returns the text of a top-level scalar field, or "".
func (d *Document) Scalar(field string) string {
	n := child(d.root, field)
	if n == nil || n.Kind != yaml.ScalarNode {
		return ""
	}
	return n.Value
}

func child(n *yaml.Node, field string) *yaml.Node {
	if n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == field {
			return n.Content[i+1]
		}
	}
	return nil
}

// Errorf returns a FieldError at the line of the field, or of its nearest parent that
// the document has.
func (d *Document) Errorf(field, format string, args ...any) FieldError {
	return d.errorAt(d.line(field), field, fmt.Sprintf(format, args...))
}

// errorAt returns a FieldError at a line, or at the source of an override if the line
// represents one.
func (d *Document) errorAt(line int, field, problem string) FieldError {
	if source, ok := d.sources[line]; ok {
		return FieldError{File: source, Field: field, Problem: problem}
	}
	return FieldError{File: d.File, Line: line, Field: field, Problem: problem}
}

func (d *Document) line(field string) int {
	for path := field; path != ""; {
		if line, ok := d.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return d.root.Line
}

// Decode decodes the document into out, a pointer to a struct with yaml tags, and
// returns all errors: unknown fields, wrong types and failed UnmarshalYAML calls.
func (d *Document) Decode(out any) []error {
	return d.decode(d.root, "", out)
}

// DecodeAt is like Decode for the node at a path. It does nothing if the document has
// no such node.
func (d *Document) DecodeAt(path string, out any) []error {
	n := d.nodes[path]
	if n == nil {
		return nil
	}
	return d.decode(n, path, out)
}

func (d *Document) decode(n *yaml.Node, path string, out any) []error {
	var errs []error
	d.checkFields(n, reflect.TypeOf(out), path, &errs)
	err := n.Decode(out)
	var typeErr *yaml.TypeError
	switch {
	case errors.As(err, &typeErr):
		for _, text := range typeErr.Errors {
			errs = append(errs, d.decodeError(text))
		}
	case err != nil:
		errs = append(errs, d.decodeError(err.Error()))
	}
	return errs
}

func (d *Document) decodeError(text string) error {
	m := lineRE.FindStringSubmatch(text)
	if m == nil {
		return d.Errorf("", "%s", text)
	}
	line, _ := strconv.Atoi(m[1])
	return d.errorAt(line, d.paths[line], m[2])
}

var (
	yamlUnmarshaler = reflect.TypeFor[yaml.Unmarshaler]()
	yamlNode        = reflect.TypeFor[yaml.Node]()
)

// checkFields reports fields of the node that the struct type lacks.
func (d *Document) checkFields(n *yaml.Node, t reflect.Type, path string, errs *[]error) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == yamlNode || t.Implements(yamlUnmarshaler) || reflect.PointerTo(t).Implements(yamlUnmarshaler) {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		d.checkStruct(n, t, path, errs)
	case reflect.Slice:
		for i, c := range n.Content {
			d.checkFields(c, t.Elem(), fmt.Sprintf("%s[%d]", path, i), errs)
		}
	case reflect.Map:
		for i := 0; i+1 < len(n.Content); i += 2 {
			d.checkFields(n.Content[i+1], t.Elem(), join(path, n.Content[i].Value), errs)
		}
	}
}

func (d *Document) checkStruct(n *yaml.Node, t reflect.Type, path string, errs *[]error) {
	if n.Kind != yaml.MappingNode {
		return
	}
	fields := structFields(t)
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i].Value
		field := join(path, name)
		ft, ok := fields[name]
		if !ok {
			*errs = append(*errs, d.Errorf(field, "unknown field; allowed are %s", strings.Join(fieldNames(fields), ", ")))
			continue
		}
		d.checkFields(n.Content[i+1], ft, field, errs)
	}
}

func structFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, opts, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "-" || !f.IsExported() {
			continue
		}
		if opts == "inline" {
			for k, v := range structFields(f.Type) {
				fields[k] = v
			}
			continue
		}
		if name == "" {
			name = strings.ToLower(f.Name)
		}
		fields[name] = f.Type
	}
	return fields
}

func fieldNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// LineError wraps an error of an UnmarshalYAML method, so that Decode reports it with
// its line and continues with the other fields.
func LineError(n *yaml.Node, err error) error {
	return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %v", n.Line, err)}}
}
