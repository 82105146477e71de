package entry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validSettings = `name: e1
availability_zone: a
region: r
listen: {caller: "127.0.0.1:1", operator: "127.0.0.1:2", peer: "127.0.0.1:3"}
platform: 127.0.0.1:4
`

// plaintextPeerTLS is appended at the end of a file, so that it does not change
// the line numbers in the expected errors.
const plaintextPeerTLS = "peer_tls: {plaintext: true}\n"

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings("entry.yaml", []byte(validSettings+"limits: {body: 1MiB}\n"+plaintextPeerTLS))
	require.NoError(t, err)
	require.Equal(t, "1MiB", s.Limits.Body.String())
	require.Equal(t, "64KiB", s.Limits.Header.String())
}

func TestParseSettingsReportsEveryError(t *testing.T) {
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

// Invalid settings are reported with their line and field.
func TestSettingsFaults(t *testing.T) {
	cases := []struct{ name, extra, want string }{
		{"zero interval", "intervals: {load: 0s}\n", "entry.yaml:6: intervals.load: 0s is out of range; 10ms to 1h0m0s is allowed"},
		{"negative interval", "intervals:\n  hosts: -1s\n", `entry.yaml:7: intervals.hosts: "-1s" is not a duration`},
		{"tiny header limit", "limits: {header: 1B}\n", "entry.yaml:6: limits.header: 1B is out of range; 1KiB to 1MiB is allowed"},
		{"huge body limit", "limits: {body: 2GiB}\n", "limits.body: 2GiB is out of range"},
		{"no unit", "limits: {body: 100}\n", `limits.body: "100" is not a size`},
		{"empty record", "record: {decisions: 0}\n", "record.decisions: 0 is out of range"},
		{"peer without a port", "peers: [127.0.0.1]\n", `entry.yaml:6: peers[0]: "127.0.0.1" is not an address`},
		{"host name", "peers: [\"localhost:1\"]\n", `"localhost:1" is not an address`},
		{"unknown module", "plugins:\n  - id: scorer.colour\n", `entry.yaml:7: plugins[0].id: "scorer.colour" is not a module; allowed are [filter.`},
		{"unknown option", "plugins:\n  - id: filter.capacity\n    options:\n      reservd: 0.2\n", "entry.yaml:9: plugins[0].options.reservd: unknown field; allowed are reserved"},
		{"option of a wrong type", "plugins:\n  - id: filter.capacity\n    options: {reserved: much}\n", "entry.yaml:8: plugins[0].options"},
		{"option out of range", "plugins:\n  - id: filter.capacity\n    options: {reserved: 2}\n", "entry.yaml:8: plugins[0].options: reserved: 2 is out of range"},
		{"module twice", "plugins:\n  - id: filter.leaving\n  - id: filter.leaving\n", "entry.yaml:8: plugins[1].id: filter.leaving is listed twice"},
		{"two documents", "---\nname: x\n", "want exactly one YAML document"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSettings("entry.yaml", []byte(validSettings+c.extra+plaintextPeerTLS))
			require.ErrorContains(t, err, c.want)
		})
	}
	_, err := ParseSettings("entry.yaml", []byte("name: A.b\nlisten: {caller: \"127.0.0.1:1\", operator: \"127.0.0.1:1\"}\n"))
	require.ErrorContains(t, err, `entry.yaml:1: name: "A.b" is not a name`)
	require.ErrorContains(t, err, "listen.operator: 127.0.0.1:1 is used by another port already")
	require.ErrorContains(t, err, "region: missing")
}

func TestPeerTLSSettings(t *testing.T) {
	cases := []struct{ name, extra, want string }{
		{"no TLS settings", "", "peer_tls.certificate: missing; name a file"},
		{"missing key", "peer_tls: {certificate: a.pem, authority: b.pem}\n", "peer_tls.key: missing"},
		{"files that do not exist", "peer_tls: {certificate: a.pem, key: a.key, authority: none.pem}\n", "none.pem"},
		{"plaintext with a certificate", "peer_tls: {certificate: a.pem, plaintext: true}\n", "peer_tls.plaintext: can't be combined with certificate, key or authority"},
		{"bad address", "advertise: {peer: here}\n", `advertise.peer: "here" is not an address`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSettings("entry.yaml", []byte(validSettings+c.extra))
			require.ErrorContains(t, err, c.want)
		})
	}
	open := strings.ReplaceAll(validSettings, "127.0.0.1:3", "10.0.0.1:3")
	_, err := ParseSettings("entry.yaml", []byte(open+plaintextPeerTLS))
	require.ErrorContains(t, err, "plaintext is allowed on a loopback address only")
}

func TestPluginOptionsAreRead(t *testing.T) {
	s, err := ParseSettings("entry.yaml", []byte(validSettings+"plugins:\n  - id: filter.capacity\n    options: {reserved: 0.5}\n"+plaintextPeerTLS))
	require.NoError(t, err)
	cfg, err := buildChain(s)
	require.NoError(t, err)
	require.Len(t, cfg.Filters, 1)
}

// A flag takes precedence over the environment, the environment over the file
// and the file over the default. Errors name the source of the value.
func TestSettingsPrecedence(t *testing.T) {
	environment := map[string]string{"JAYLINK_LOG_LEVEL": "warn", "JAYLINK_LIMITS_BODY": "2MiB", "JAYLINK_PEERS": "127.0.0.1:8,127.0.0.1:9"}
	lookup := func(name string) (string, bool) { v, ok := environment[name]; return v, ok }
	flag, err := FlagOverride("log.level=error")
	require.NoError(t, err)
	s, err := ParseSettings("entry.yaml", []byte(validSettings+"limits: {body: 1MiB, answer: 8MiB}\n"+plaintextPeerTLS), append(EnvironmentOverrides(lookup), flag)...)
	require.NoError(t, err)
	require.Equal(t, "error", s.Log.Level)
	require.Equal(t, "2MiB", s.Limits.Body.String())
	require.Equal(t, "8MiB", s.Limits.Answer.String())
	require.Equal(t, "64KiB", s.Limits.Header.String())
	require.Equal(t, []string{"127.0.0.1:8", "127.0.0.1:9"}, s.Peers)

	environment = map[string]string{"JAYLINK_LIMITS_BODY": "much", "JAYLINK_LISTEN_CALLER": "x"}
	_, err = ParseSettings("entry.yaml", []byte(validSettings), append(EnvironmentOverrides(lookup), Override{Field: "colour", Source: "flag --set"})...)
	require.ErrorContains(t, err, `environment JAYLINK_LIMITS_BODY: limits.body: "much" is not a size`)
	require.ErrorContains(t, err, `environment JAYLINK_LISTEN_CALLER: listen.caller: "x" is not an address`)
	require.ErrorContains(t, err, "flag --set: colour: unknown field")
}
