package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
)

const (
	reasonsBegin = "<!-- reasons: written by UPDATE_DOCS=1 go test ./entry -->\n"
	reasonsEnd   = "<!-- end of reasons -->"
)

// docs/CALLERS.md has a row for each refusal reason.
func TestCallersPageIsCurrent(t *testing.T) {
	data, err := os.ReadFile("../docs/CALLERS.md")
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(data), reasonsBegin)
	require.True(t, ok)
	_, after, ok := strings.Cut(rest, reasonsEnd)
	require.True(t, ok)
	var b strings.Builder
	b.WriteString(before + reasonsBegin + "| Reason | Status | Meaning | Send again? |\n|---|---|---|---|\n")
	for _, r := range reason.Refusals {
		d, _ := reason.Describe(r)
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s |\n", r, statusOf[r], d.Meaning, d.Again)
	}
	b.WriteString(reasonsEnd + after)
	requireGenerated(t, "../docs/CALLERS.md", b.String())
}
