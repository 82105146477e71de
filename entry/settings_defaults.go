package entry

import _ "embed"

// DefaultsYAML is a settings file with every field, its meaning and its
// default. A test keeps it equal to the doc comments and to DefaultSettings.
//
//go:embed defaults.yaml
var DefaultsYAML string
