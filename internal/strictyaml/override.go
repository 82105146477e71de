package strictyaml

import (
	"strings"

	"gopkg.in/yaml.v3"
)

// firstOverrideLine is the first line number that represents an override. It is larger
// than the line numbers of any real file.
const firstOverrideLine = 1 << 30

// Override sets the scalar field at a dotted path to a value from outside the file.
// Errors in the value are reported with the source, for example
// "environment JAYLINK_NAME", instead of the file and line. It returns an error if a
// parent of the field is not a mapping.
func (d *Document) Override(path, value, source string) error {
	line := firstOverrideLine + len(d.sources)
	d.sources[line] = source
	return d.set(path, line, &yaml.Node{Kind: yaml.ScalarNode, Value: value, Line: line})
}

// OverrideList is like Override for a field that is a list of scalars.
func (d *Document) OverrideList(path string, values []string, source string) error {
	line := firstOverrideLine + len(d.sources)
	d.sources[line] = source
	list := &yaml.Node{Kind: yaml.SequenceNode, Line: line}
	for _, v := range values {
		list.Content = append(list.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: v, Line: line})
	}
	return d.set(path, line, list)
}

func (d *Document) set(path string, line int, value *yaml.Node) error {
	at, prefix := d.root, ""
	fields := strings.Split(path, ".")
	for _, field := range fields[:len(fields)-1] {
		prefix = join(prefix, field)
		next := child(at, field)
		if next == nil {
			next = &yaml.Node{Kind: yaml.MappingNode, Line: line}
			setField(at, field, line, next)
		}
		if next.Kind != yaml.MappingNode {
			return d.Errorf(prefix, "must be a mapping, because %s is set from outside the file", path)
		}
		at = next
	}
	setField(at, fields[len(fields)-1], line, value)
	d.lines[path] = line
	d.paths[line] = path
	d.index(value, path)
	return nil
}

// setField sets or replaces a field of a mapping.
func setField(mapping *yaml.Node, field string, line int, value *yaml.Node) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == field {
			mapping.Content[i+1] = value
			return
		}
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: field, Line: line}
	mapping.Content = append(mapping.Content, key, value)
}
