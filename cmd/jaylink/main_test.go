package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"gopkg.in/yaml.v3"

	"jaylink/entry"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
)

const objects = `kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk}
---
kind: Customer
name: c
labels: {tier: tin}
spec: {selector: account=c}
---
kind: Policy
name: lookups
spec: {selector: method=GET, idempotent: true}
`

// cli runs the built jaylink binary against one entry.
type cli struct {
	t     *testing.T
	fleet *testfleet.Fleet
	entry *testfleet.Entry
	dir   string
}

func newCLI(t *testing.T) *cli {
	t.Helper()
	f := testfleet.New(t)
	f.Upstream("service", "desk", "desk-1", "a", "r")
	e := f.StartEntry("one", "a", "r", "drain: {leave_delay: 0s}")
	f.Ready()
	return &cli{t: t, fleet: f, entry: e, dir: t.TempDir()}
}

// write writes a file in the test's directory and returns its path.
func (s *cli) write(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	require.NoError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs a command, checks its exit code and returns its output.
func (s *cli) run(code int, args ...string) string {
	s.t.Helper()
	return s.start(args...)(code)
}

// start starts a command. The returned function waits for it, checks its exit code
// and returns its output.
func (s *cli) start(args ...string) func(code int) string {
	s.t.Helper()
	binary, err := testfleet.Binary()
	require.NoError(s.t, err)
	var out bytes.Buffer
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), "JAYLINK_ENTRY="+s.entry.Operator, "JAYLINK_OPERATOR=asha")
	cmd.Stdout, cmd.Stderr = &out, &out
	require.NoError(s.t, cmd.Start())
	return func(code int) string {
		s.t.Helper()
		var exit *exec.ExitError
		if err := cmd.Wait(); err != nil && !errors.As(err, &exit) {
			require.NoError(s.t, err)
		}
		require.Equal(s.t, code, cmd.ProcessState.ExitCode(), "jaylink %s\n%s", strings.Join(args, " "), out.String())
		return out.String()
	}
}

func TestCommandsAndTheirExitCodes(t *testing.T) {
	s := newCLI(t)
	file := s.write("objects.yaml", objects)
	wrong := s.write("wrong.yaml", "kind: Service\nname: x\nspec: {selecter: a=b}\n")
	ambiguous := s.write("ambiguous.yaml", "kind: Customer\nname: d\nspec: {selector: account=c}\n")
	changed := s.write("changed.yaml", strings.ReplaceAll(objects, "tin", "gold"))
	steps := []struct {
		code int
		args string
		want []string
	}{
		{0, "", []string{"usage:"}},
		{2, "aply", []string{"aply"}},
		{2, "apply", []string{"--file"}},
		{2, "apply -f " + wrong, []string{"wrong.yaml:3: spec.selecter: unknown field; allowed are"}},
		{0, "apply --dry-run -f " + file, []string{"Customer/c checked", `spec.selector: "account=c" added`}},
		{0, "get", []string{"KIND"}},
		{2, "get customer c", []string{"no such object: Customer/c"}},
		{0, "apply -f " + file, []string{"Service/desk accepted version=", "Customer/c accepted"}},
		{0, "apply -f " + file, []string{"Customer/c unchanged"}},
		{2, "apply -f " + ambiguous, []string{"ambiguous.yaml:3: spec.selector: invalid: ambiguous"}},
		{0, "apply --dry-run -f " + changed, []string{`labels.tier: "tin" -> "gold"`, "Service/desk unchanged"}},
		{0, "get customer c", []string{"tier=tin", "asha"}},
		{0, "label customer c tier=silver", []string{"accepted at version", "tier=silver"}},
		{0, "label customers c note=x tier-", []string{"note=x"}},
		{2, "label customer c nonsense", []string{"want KEY=VALUE or KEY-"}},
		{2, "label customer none a=b", []string{"no such object"}},
		{2, "get things", []string{`unknown kind "things"`}},
		{3, "delete customer c --at-version 1", []string{"Customer/c is at version", "written by asha"}},
		{0, "watch --all --count 1", []string{"version="}},
		{0, "status", []string{"ZONE", "REVISION IN FORCE", "one (asked)"}},
		{2, "explain", []string{"needs either"}},
		{2, "explain 00112233445566778899aabbccddeeff.two", []string{`entry "two" accepted it`}},
		{0, "check " + file, []string{"ok: 1 files, 3 objects"}},
		{2, "check " + wrong, []string{"wrong.yaml:3"}},
		{0, "delete customer c", []string{"Customer/c deleted"}},
		{2, "delete customer c", []string{"no such object"}},
		{1, "get --entry 127.0.0.1:9", []string{"connection refused"}},
		{0, "entry --print-defaults", []string{"leave_delay: 3s"}},
		{2, "entry", []string{"--settings"}},
		{0, "version", []string{"jaylink"}},
		{0, "--completion-script-bash", []string{"complete"}},
	}
	for _, step := range steps {
		out := s.run(step.code, strings.Fields(step.args)...)
		for _, want := range step.want {
			require.Contains(t, out, want, "jaylink %s", step.args)
		}
	}
}

func TestCommandsPrintJSONAndYAML(t *testing.T) {
	s := newCLI(t)
	s.fleet.Apply(s.entry, objects)
	id := s.lookUpOrder("/orders/1")
	for _, args := range []string{"get", "get customer c", "status", "explain " + id, "label customer c a=b", "watch --all --count 1", "apply --dry-run -f " + s.write("o.yaml", objects)} {
		var v any
		text := s.run(0, strings.Fields(args+" -o json")...)
		text = strings.TrimPrefix(text, "watching http://"+s.entry.Operator+"/v1\n")
		require.NoError(t, json.Unmarshal([]byte(text), &v), "%s\n%s", args, text)
		if args != "label customer c a=b" {
			text = s.run(0, strings.Fields(args+" -o yaml")...)
			require.NoError(t, yaml.Unmarshal([]byte(strings.TrimPrefix(text, "watching http://"+s.entry.Operator+"/v1\n")), &v))
		}
	}
}

// lookUpOrder sends an order lookup to the entry and returns its request ID.
func (s *cli) lookUpOrder(path string) string {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodGet, s.entry.URL(path), nil)
	require.NoError(s.t, err)
	req.Header.Set("Jaylink-Label-App", "desk")
	req.Header.Set("Jaylink-Label-Account", "c")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer resp.Body.Close()
	require.Equal(s.t, http.StatusOK, resp.StatusCode)
	return resp.Header.Get("Jaylink-Request-Id")
}

func TestExplainShowsRoutingDecision(t *testing.T) {
	s := newCLI(t)
	s.fleet.Apply(s.entry, objects)
	id := s.lookUpOrder("/orders/1")
	out := s.run(0, "explain", id)
	require.Contains(t, out, "accepted request_id="+id)
	require.Contains(t, out, "routed")
	require.Contains(t, out, "upstream=desk-1 attempt=1")
	require.Contains(t, out, "    desk-1 score=")
	require.Contains(t, s.run(0, "explain", "--upstream", "desk-1"), id)
}

// If the platform can't be reached, it is unknown whether a write took effect. The
// exit code of the command reports this.
func TestWriteDuringAnOutageExitsWithUnknown(t *testing.T) {
	s := newCLI(t)
	file := s.write("objects.yaml", objects)
	s.run(0, "apply", "-f", file)
	s.fleet.Put("http://"+s.fleet.Platform+"/v1/faults", map[string]bool{"outage": true})
	label := s.start("label", "customer", "c", "tier=gold")
	apply := s.start("apply", "-f", s.write("new.yaml", "kind: Customer\nname: n\nspec: {selector: account=n}\n"))
	label(4)
	apply(4)
	s.run(0, "get", "customer", "c")
}

func TestDrainEndsTheProcessGracefully(t *testing.T) {
	s := newCLI(t)
	require.Contains(t, s.run(0, "drain"), "is leaving")
	<-s.entry.Done()
	require.Contains(t, s.entry.Log(), "entry stopped")
}

func TestWrongSettingsStartNothing(t *testing.T) {
	s := newCLI(t)
	bad := s.write("entry-bad.yaml", "name: x\nlimits: {body: 1MB}\ncolour: red\n")
	out := s.run(2, "entry", "--settings", bad)
	require.Contains(t, out, "entry-bad.yaml:2: limits.body")
	require.Contains(t, out, "entry-bad.yaml:3: colour: unknown field")
	out = s.run(2, "entry", "--settings", s.entry.Settings, "--set", "log.level=loud")
	require.Contains(t, out, `flag --set: log.level: "loud" is not known`)
}

func TestExamplesAreValid(t *testing.T) {
	s := &cli{t: t, entry: &testfleet.Entry{}}
	for _, name := range []string{"parikh-smriti", "forbund"} {
		dir := filepath.Join("..", "..", "examples", name)
		require.Contains(t, s.run(0, "check", dir), "ok:")
		settings, err := filepath.Glob(filepath.Join(dir, "entry-*.yaml"))
		require.NoError(t, err)
		require.NotEmpty(t, settings)
		require.Contains(t, s.run(0, append([]string{"check"}, settings...)...), fmt.Sprintf("ok: %d files", len(settings)))
	}
}

// The status of an entry lists the zones of all entries.
func TestStatusListsAllZones(t *testing.T) {
	s := newCLI(t)
	s.fleet.StartEntry("two", "b", "r", "drain: {leave_delay: 0s}")
	s.fleet.Ready()
	s.fleet.Apply(s.entry, objects)
	require.NoError(t, procs.Await("both zones", func() bool {
		out := s.run(0, "status")
		return strings.Contains(out, "\na ") && strings.Contains(out, "\nb ")
	}))
}

// If the entry has a credentials file, commands need the operator's token.
func TestCommandsSendTheOperatorsToken(t *testing.T) {
	s := newCLI(t)
	token := s.write("token", "asha-token\n")
	who := s.write("operators", "asha credential="+entry.Credential("asha-token")+"\n")
	s.entry = s.fleet.StartEntry("two", "a", "r", "drain: {leave_delay: 0s}\noperators: {credentials_file: "+who+"}\n")
	s.fleet.Ready()
	require.Contains(t, s.run(2, "status"), "give it by --token-file")
	require.Contains(t, s.run(0, "status", "--token-file", token), "two (asked)")
	require.Contains(t, s.run(2, "explain", "--upstream", "desk-1", "--token-file", "/none"), "no such file")
	require.Contains(t, s.run(0, "report", "--token-file", token), "CUSTOMER")
}
