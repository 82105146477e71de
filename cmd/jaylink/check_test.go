package main

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/testfleet"
)

const platformSettings = `# written by the platform
node-name=entry-1
ip=10.0.0.1
zone=za
region=ra
bind.front=10.0.0.1:8360
bind.ready=10.0.0.1:8365
internal-ports=7500,7515
platform.address=10.200.1.7:8361
`

// The type of a file is detected from its content, not from its name.
func TestCheckDetectsFileTypes(t *testing.T) {
	s := &cli{t: t, entry: &testfleet.Entry{}, dir: t.TempDir()}
	cases := map[string]struct {
		code int
		text string
		want []string
	}{
		"platform settings": {0, platformSettings, []string{"ok: 1 files, 0 objects"}},
		"invalid platform settings": {
			2, strings.Replace(platformSettings, "10.0.0.1:8360", "here", 1) + "limits.memory-mb=much\n",
			[]string{`:6: bind.front: "here" is not IP:PORT`, `:10: limits.memory-mb: "much" is not a number`},
		},
		"missing platform setting": {2, strings.Replace(platformSettings, "zone=za\n", "", 1), []string{": zone: is missing"}},
		"invalid entry settings": {
			2, "name: x\nlimits: {body: 1MB}\ncolour: red\nlog: {level: loud}\n",
			[]string{":2: limits.body", ":3: colour: unknown field", ":4: log.level"},
		},
		"objects":         {0, objects, []string{"ok: 1 files, 3 objects"}},
		"invalid objects": {2, "kind: Service\nname: desk\nspec: {selectr: a=b}\n", []string{":3: spec.selectr"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := s.write("some-file", c.text)
			out := s.run(c.code, "check", path)
			for _, want := range c.want {
				require.Contains(t, out, want)
			}
		})
	}
}

// The errors of several files are reported together.
func TestCheckReportsErrorsOfAllFiles(t *testing.T) {
	s := &cli{t: t, entry: &testfleet.Entry{}, dir: t.TempDir()}
	settings := s.write("a", strings.Replace(platformSettings, "ip=10.0.0.1\n", "", 1))
	wrong := s.write("b.yaml", "kind: Service\nname: desk\nspec: {selectr: a=b}\n")
	out := s.run(2, "check", settings, wrong, filepath.Join(s.dir, "none"))
	for _, want := range []string{": ip: is missing", "b.yaml:3: spec.selectr", "none: no such file"} {
		require.Contains(t, out, want)
	}
}
