package soak

import (
	"io"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds are played in CI: one of each length of schedule, and every seed that ever
// failed, with its cause.
//
// 201: an entry was paused while two versions were accepted, and denied the newer key
// with 401 for the 150 ms until it had heard of them.
//
// 9001 has deadly requests, rests and upstreams that answer that they leave.
var seeds = []uint64{1, 201, 9001}

func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "jaylink")
	out, err := exec.Command("go", "build", "-o", binary, "jaylink/cmd/jaylink").CombinedOutput()
	require.NoError(t, err, "%s", out)
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			r, err := Run(t.Context(), Options{
				Binary: binary, Seed: seed, For: 6 * time.Second, Entries: 3, Upstreams: 6, Callers: 8, Dir: t.TempDir(), Out: io.Discard,
			})
			require.NoError(t, err)
			require.Empty(t, r.Violations, "faults: %q", r.Faults)
			require.Positive(t, r.Answered)
		})
	}
}
