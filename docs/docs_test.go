// Package docs has tests that check the documentation against the code.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pages returns the Markdown files of the repository, keyed by their path relative
// to its root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		data, err := os.ReadFile(path)
		name, _ := filepath.Rel("..", path)
		out[name] = string(data)
		return err
	})
	require.NoError(t, err)
	return out
}

var (
	linkRE = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	// fileRE matches repository files that a page mentions.
	fileRE = regexp.MustCompile(`\b((?:docs|entry|plugin|examples|decision|operator|platform|peer|guarantees|internal|cmd|api)/[A-Za-z0-9_./-]+\.(?:md|go|yaml|proto))\b`)
	testRE = regexp.MustCompile(`\b(Test[A-Z][A-Za-z0-9]+)\b`)
)

func TestPagesNameOnlyWhatExists(t *testing.T) {
	tests := testNames(t)
	for name, text := range pages(t) {
		for _, m := range linkRE.FindAllStringSubmatch(text, -1) {
			target := filepath.Join("..", filepath.Dir(name), m[1])
			_, err := os.Stat(target)
			require.NoError(t, err, "%s links to %s", name, m[1])
		}
		for _, m := range fileRE.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join("..", m[1]))
			require.NoError(t, err, "%s names %s", name, m[1])
		}
		for _, m := range testRE.FindAllStringSubmatch(text, -1) {
			require.True(t, m[1] == "TestNAME" || slices.Contains(tests, m[1]), "%s names %s, which does not exist", name, m[1])
		}
	}
}

var testFuncRE = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

func testNames(t *testing.T) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, m := range testFuncRE.FindAllStringSubmatch(string(data), -1) {
			out = append(out, m[1])
		}
		return err
	})
	require.NoError(t, err)
	return out
}

// updateEnv is the environment variable that makes requireSection write generated
// sections instead of comparing them.
const updateEnv = "UPDATE_DOCS"

// Every design note and operating page is listed in its index by title.
func TestIndexesAreComplete(t *testing.T) {
	for index, dir := range map[string]string{"DESIGN.md": "design", "OPERATING.md": "operating"} {
		requireSection(t, index, "pages", indexLines(t, dir))
	}
}

var rpcRE = regexp.MustCompile(`((?:  // .*\n)+)  rpc (\w+)\((\w+)\) returns \(((?:stream )?\w+)\);`)

// docs/PEERS.md has a row for each call of the peer protocol, with the comment of
// the call in the .proto file.
func TestPeersPageHasEveryCall(t *testing.T) {
	files, err := filepath.Glob("../peer/peerpb/*.proto")
	require.NoError(t, err)
	rows := "| Call | Message | Answer | Meaning |\n|---|---|---|---|\n"
	for _, file := range files {
		proto, err := os.ReadFile(file)
		require.NoError(t, err)
		calls := rpcRE.FindAllStringSubmatch(string(proto), -1)
		require.Len(t, calls, strings.Count(string(proto), "  rpc "), "a call in %s has no comment", file)
		for _, m := range calls {
			meaning := strings.Join(strings.Fields(strings.ReplaceAll(m[1], "//", "")), " ")
			rows += "| `" + m[2] + "` | `" + m[3] + "` | `" + m[4] + "` | " + meaning + " |\n"
		}
	}
	requireSection(t, "PEERS.md", "calls", rows)
}

// requireSection requires that the text between the markers of a section equals
// text. If updateEnv is set, it writes the section instead.
func requireSection(t *testing.T, file, name, text string) {
	t.Helper()
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	begin, end := "<!-- "+name+": written by make docs -->\n", "<!-- end of "+name+" -->"
	before, rest, ok := strings.Cut(string(data), begin)
	require.True(t, ok, "%s has no section %s", file, name)
	_, after, ok := strings.Cut(rest, end)
	require.True(t, ok, "%s: section %s has no end", file, name)
	want := before + begin + text + end + after
	if os.Getenv(updateEnv) != "" {
		require.NoError(t, os.WriteFile(file, []byte(want), 0o644))
		return
	}
	require.True(t, want == string(data), "docs/%s is out of date; run make docs", file)
}

// indexLines returns a list item with the title of each page in a directory, in the
// order of file names.
func indexLines(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(dir + "/*.md")
	require.NoError(t, err)
	var b strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		title, _, _ := strings.Cut(string(data), "\n")
		b.WriteString("- [" + strings.TrimPrefix(title, "# ") + "](" + filepath.ToSlash(file) + ")\n")
	}
	return b.String()
}

// The Go code blocks of the example in CONTRIBUTING.md are part of the example
// plug-in, which is compiled and tested.
func TestWorkedExampleIsTheCode(t *testing.T) {
	text := pages(t)["CONTRIBUTING.md"]
	var code string
	for _, file := range []string{"setup.go", "avoidzone.go"} {
		data, err := os.ReadFile(filepath.Join("..", "examples", "plugin", "avoidzone", file))
		require.NoError(t, err)
		code += string(data)
	}
	blocks := regexp.MustCompile("(?s)   ```go\n(.*?)   ```").FindAllStringSubmatch(text, -1)
	require.NotEmpty(t, blocks)
	for _, b := range blocks {
		plain := regexp.MustCompile(`(?m)^   `).ReplaceAllString(b[1], "")
		require.Contains(t, code, plain)
	}
}

// Every bundled plug-in has a README.md with the required sections.
func TestEveryPluginHasItsPage(t *testing.T) {
	setups, err := filepath.Glob("../plugin/*/*/setup.go")
	require.NoError(t, err)
	require.NotEmpty(t, setups)
	for _, setup := range setups {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(setup), "README.md"))
		require.NoError(t, err)
		for _, section := range []string{"## Description", "## Syntax", "## Metrics"} {
			require.Contains(t, string(data), section, setup)
		}
	}
}
