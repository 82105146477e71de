package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/testfleet"
)

// restore --prune undoes objects that were changed, deleted or added after the
// snapshot.
func TestRestoreAppliesSnapshot(t *testing.T) {
	s := newCLI(t)
	s.fleet.Apply(s.entry, objects)
	before := s.run(0, "snapshot")
	file := s.write("snapshot.yaml", before)
	require.Contains(t, s.run(0, "restore", "--prune", "--dry-run", "-f", file), "Customer/c unchanged")

	s.run(0, "label", "customer", "c", "tier=gold")
	s.run(0, "delete", "policy", "lookups")
	s.run(0, "apply", "-f", s.write("more.yaml", "kind: Customer\nname: more\nspec: {selector: account=more}\n"))
	out := s.run(0, "restore", "--prune", "--dry-run", "-f", file)
	require.Contains(t, out, `labels.tier: "gold" -> "tin"`)
	require.Contains(t, out, "Customer/more would be deleted")
	require.Contains(t, s.run(0, "get", "customer", "c"), "tier=gold", "a dry run writes nothing")

	s.run(0, "restore", "--prune", "-f", file)
	require.Equal(t, withoutHeader(before), withoutHeader(s.run(0, "snapshot")))
}

// A snapshot with one invalid object is not restored at all.
func TestRestoreOfInvalidSnapshotWritesNothing(t *testing.T) {
	s := newCLI(t)
	s.fleet.Apply(s.entry, objects)
	before := s.run(0, "snapshot")
	wrong := strings.ReplaceAll(before, "tier: tin", "tier: gold") + "---\nkind: Customer\nname: bad\nspec: {selector: account=c}\n"
	out := s.run(2, "restore", "-f", s.write("wrong.yaml", wrong))
	require.Contains(t, out, "ambiguous")
	require.Equal(t, withoutHeader(before), withoutHeader(s.run(0, "snapshot")))
}

// withoutHeader removes the first line, which has the revision and the time.
func withoutHeader(snapshot string) string {
	_, rest, _ := strings.Cut(snapshot, "\n")
	return rest
}

func TestReportSumsUsage(t *testing.T) {
	s := newCLI(t)
	s.fleet.Apply(s.entry, objects)
	s.lookUpOrder("/orders/1")
	s.lookUpOrder("/orders/2")
	out := s.run(0, "report", "--entry", s.entry.Operator)
	require.Regexp(t, `(?m)^c +desk +2 +2 +0 +-$`, out)
}

// The command prints the hash of a token, never the token.
func TestCredentialPrintsTheHashOnly(t *testing.T) {
	binary, err := testfleet.Binary()
	require.NoError(t, err)
	cmd := exec.Command(binary, "credential")
	cmd.Stdin = strings.NewReader("desai-parivar-demo-token\n")
	out, err := cmd.CombinedOutput()
	require.NoError(t, err)
	require.Regexp(t, `^credential=[0-9a-f]{32}\n$`, string(out))
	customers, err := os.ReadFile("../../examples/parikh-smriti/customers.yaml")
	require.NoError(t, err)
	require.Contains(t, string(customers), strings.TrimSpace(string(out)))
	cmd = exec.Command(binary, "credential")
	require.Error(t, cmd.Run())
	require.Equal(t, exitBadInput, cmd.ProcessState.ExitCode())
}
