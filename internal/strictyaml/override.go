package strictyaml

import (
	"strings"

	"gopkg.in/yaml.v3"
)

// firstOverrideLine is the first line number that stands for an override; no
// file has as many lines.
const firstOverrideLine = 1 << 30

// Override sets the scalar field at a dotted path to a value that comes from
// outside the file. Mistakes in it are reported with the source, for example
// "environment JAYLINK_NAME", in place of the file and line. It returns an
// error if the path leads through something that is not a mapping.
func (d *Document) Override(path, value, source string) error {
	line := firstOverrideLine + len(d.sources)
	d.sources[line] = source
	return d.set(path, line, &yaml.Node{Kind: yaml.ScalarNode, Value: value, Line: line})
}

// OverrideList is Override for a field that is a list of scalars.
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
	at, walked := d.root, ""
	fields := strings.Split(path, ".")
	for _, field := range fields[:len(fields)-1] {
		walked = join(walked, field)
		next := child(at, field)
		if next == nil {
			next = &yaml.Node{Kind: yaml.MappingNode, Line: line}
			put(at, field, line, next)
		}
		if next.Kind != yaml.MappingNode {
			return d.Errorf(walked, "want a mapping, because %s is set from outside the file", path)
		}
		at = next
	}
	put(at, fields[len(fields)-1], line, value)
	d.lines[path] = line
	d.paths[line] = path
	d.index(value, path)
	return nil
}

// put sets or replaces a field of a mapping.
func put(mapping *yaml.Node, field string, line int, value *yaml.Node) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == field {
			mapping.Content[i+1] = value
			return
		}
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: field, Line: line}
	mapping.Content = append(mapping.Content, key, value)
}
