package entry

import _ "embed"

// DefaultsYAML is a settings file with every field, its description and its
// default. A test checks that it matches the doc comments and DefaultSettings.
//
//go:embed defaults.yaml
var DefaultsYAML string
