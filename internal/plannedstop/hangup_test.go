package plannedstop

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/hangup"
	"jaylink/internal/testfleet"
)

// SIGHUP comes while an entry that has just been started is about to read its settings.
func TestHangupDuringTheStartEndsTheEntry(t *testing.T) {
	s := newSite(t)
	g := s.newGateway(t)
	text, err := os.ReadFile(g.settings)
	require.NoError(t, err)
	// The entry waits for the settings until the test writes them.
	require.NoError(t, os.Remove(g.settings))
	require.NoError(t, syscall.Mkfifo(g.settings, 0o600))
	require.NoError(t, s.start(g))
	w, err := os.OpenFile(g.settings, os.O_WRONLY, 0)
	require.NoError(t, err)
	require.NoError(t, g.Signal(syscall.SIGHUP))
	_, err = w.Write(text)
	require.NoError(t, err)
	require.NoError(t, w.Close())
	g.awaitReady(t)
}

// Packages that are initialized before SIGHUP is caught make the time longer in which it ends an
// entry.
func TestHangupIsCaughtOnlyAfterOtherPackagesHaveBeenInitialized(t *testing.T) {
	binary, err := testfleet.Binary()
	require.NoError(t, err)
	cmd := exec.Command(binary, hangup.Command, "--settings", filepath.Join(t.TempDir(), "none"))
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	// The command fails, as it has no settings.
	out, err := cmd.CombinedOutput()
	require.Error(t, err)
	var packages []string
	for line := range strings.Lines(string(out)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "init" {
			packages = append(packages, f[1])
		}
	}
	at := slices.Index(packages, "jaylink/internal/hangup")
	require.Positive(t, at)
	require.Equal(t, "os/signal", packages[at-1], "of %v", packages)
}
