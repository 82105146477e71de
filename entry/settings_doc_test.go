package entry

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/internal/strictyaml"
)

// updateEnv is the environment variable that makes the tests write the generated
// files instead of comparing them: UPDATE_DOCS=1 go test ./entry
const updateEnv = "UPDATE_DOCS"

func requireGenerated(t *testing.T, file, want string) {
	t.Helper()
	if os.Getenv(updateEnv) != "" {
		require.NoError(t, os.WriteFile(file, []byte(want), 0o644))
		return
	}
	have, err := os.ReadFile(file)
	require.NoError(t, err)
	require.True(t, want == string(have), "%s is out of date; run make docs", file)
}

// settingsDocs returns the doc comment of each field, by type and field name.
func settingsDocs(t *testing.T) map[string]string {
	t.Helper()
	files, err := os.ReadDir(".")
	require.NoError(t, err)
	docs := map[string]string{}
	for _, f := range files {
		if !strings.HasSuffix(f.Name(), ".go") || strings.HasSuffix(f.Name(), "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), f.Name(), nil, parser.ParseComments)
		require.NoError(t, err)
		ast.Inspect(tree, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				addFieldDocs(docs, spec)
			}
			return true
		})
	}
	return docs
}

func addFieldDocs(docs map[string]string, spec *ast.TypeSpec) {
	fields, ok := spec.Type.(*ast.StructType)
	if !ok {
		return
	}
	shared := ""
	for _, f := range fields.Fields.List {
		text := strings.Join(strings.Fields(f.Doc.Text()), " ")
		if text == "" {
			text = shared // the comment on the previous field covers both
		}
		shared = text
		for _, name := range f.Names {
			docs[spec.Name.Name+"."+name.Name] = text
		}
	}
}

// settingDoc is one line of the settings reference.
type settingDoc struct {
	path, doc string
	depth     int
	section   bool
	value     string // as in YAML; "" if there is no default
}

func walkSettings(docs map[string]string, v reflect.Value, prefix string, depth int) []settingDoc {
	var out []settingDoc
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		d := settingDoc{path: prefix + f.Tag.Get("yaml"), doc: docs[t.Name()+"."+f.Name], depth: depth}
		if f.Type.Kind() == reflect.Struct && !reflect.PointerTo(f.Type).Implements(textUnmarshaler) {
			d.section = true
			out = append(out, d)
			out = append(out, walkSettings(docs, v.Field(i), d.path+".", depth+1)...)
			continue
		}
		if !v.Field(i).IsZero() || f.Type.Kind() == reflect.Bool || f.Type.Kind() == reflect.Int {
			d.value = fmt.Sprint(v.Field(i).Interface())
		}
		if d.value == "" && f.Type.Kind() == reflect.Slice {
			d.value = "[]"
		}
		if text, ok := v.Field(i).Interface().(api.Duration); ok {
			d.value = text.String()
		}
		out = append(out, d)
	}
	return out
}

func allSettings(t *testing.T) []settingDoc {
	return walkSettings(settingsDocs(t), reflect.ValueOf(DefaultSettings()), "", 0)
}

func TestEverySettingIsDocumented(t *testing.T) {
	for _, d := range allSettings(t) {
		require.NotEmpty(t, d.doc, "field %s has no doc comment", d.path)
	}
}

const defaultsHeader = `# Settings of an entry with their defaults. Fields with "" have no default and
# must be set. A flag --set FIELD=VALUE takes precedence over the environment (for
# example JAYLINK_LISTEN_CALLER), the environment over this file, and this file
# over the default.
`

func TestDefaultsFileIsCurrent(t *testing.T) {
	var b strings.Builder
	b.WriteString(defaultsHeader)
	for _, d := range allSettings(t) {
		indent := strings.Repeat("  ", d.depth)
		name := d.path[strings.LastIndex(d.path, ".")+1:]
		fmt.Fprintf(&b, "\n%s# %s\n", indent, strings.Join(wrapText(d.doc, 76-len(indent)), "\n"+indent+"# "))
		switch {
		case d.section:
			fmt.Fprintf(&b, "%s%s:\n", indent, name)
		case d.value == "":
			fmt.Fprintf(&b, "%s%s: \"\"\n", indent, name)
		default:
			fmt.Fprintf(&b, "%s%s: %s\n", indent, name, d.value)
		}
	}
	requireGenerated(t, "defaults.yaml", b.String())
	docs, err := strictyaml.Split("defaults.yaml", []byte(b.String()))
	require.NoError(t, err)
	var s Settings
	require.Empty(t, docs[0].Decode(&s))
	s.Peers, s.Plugins = nil, nil
	require.Equal(t, DefaultSettings(), s)
}

func wrapText(text string, width int) []string {
	var lines []string
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && len(line)+1+len(word) > width {
			lines = append(lines, line)
			line = ""
		}
		line = strings.TrimPrefix(line+" "+word, " ")
	}
	return append(lines, line)
}

const settingsPageHeader = `# Settings

An entry reads one YAML file at startup (` + "`jaylink entry --settings FILE`" + `).
` + "`jaylink entry --print-defaults`" + ` prints a commented file to start from, and
` + "`jaylink check FILE`" + ` validates a file: it reports all errors at once, each with
file, line, field, the value found and the values allowed. An entry does not start
with invalid settings.

Precedence, highest first:

1. the flag ` + "`--set FIELD=VALUE`" + `, for example ` + "`--set log.level=debug`" + `
2. the environment, for example ` + "`JAYLINK_LOG_LEVEL=debug`" + `
3. the file
4. the default

The values of a list are separated by commas in a flag or variable. Plug-ins can
be selected only in the file; their options are in the README.md of each folder
below ` + "`plugin/`" + `. Durations and sizes have a unit: ` + "`250ms`, `20s`, `64KiB`, `4MiB`" + `.
Secrets are kept in separate files that the settings name; no setting contains a
secret, and no secret is logged.

| Field | Default | Environment | Meaning |
|---|---|---|---|
`

func TestSettingsPageIsCurrent(t *testing.T) {
	var b strings.Builder
	b.WriteString(settingsPageHeader)
	variables := map[string]bool{}
	for _, f := range overridableFields() {
		variables[f.path] = true
	}
	for _, d := range allSettings(t) {
		if d.section {
			continue
		}
		value, variable := "-", "-"
		if d.value != "" {
			value = "`" + d.value + "`"
		}
		if variables[d.path] {
			variable = "`" + EnvironmentName(d.path) + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", d.path, value, variable, d.doc)
	}
	requireGenerated(t, "../docs/SETTINGS.md", b.String())
}
