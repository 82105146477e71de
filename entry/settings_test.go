package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const goodSettings = `name: e1
availability_zone: a
region: r
listen: {caller: "127.0.0.1:1", operator: "127.0.0.1:2", peer: "127.0.0.1:3"}
platform: 127.0.0.1:4
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings("entry.yaml", []byte(goodSettings+"limits: {body: 1MiB}\n"))
	require.NoError(t, err)
	require.Equal(t, "1MiB", s.Limits.Body.String())
	require.Equal(t, "64KiB", s.Limits.Header.String())
}

func TestParseSettingsReportsEveryMistake(t *testing.T) {
	_, err := ParseSettings("entry.yaml", []byte("name: e1\nregion: r\nlimits:\n  body: 64MB\nlog:\n  level: loud\ncolour: red\n"))
	for _, want := range []string{
		"entry.yaml:4: limits.body: \"64MB\" is not a size",
		"entry.yaml:6: log.level: \"loud\" is not known; allowed are [debug info warn error]",
		"entry.yaml:7: colour: unknown field",
		"availability_zone: missing",
		"platform: \"\" is not an address",
	} {
		require.ErrorContains(t, err, want)
	}
}
