package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
)

// replaceSection returns page with the text between the markers of a section
// replaced.
func replaceSection(t *testing.T, page, name, text string) string {
	t.Helper()
	begin := "<!-- " + name + ": written by make docs -->\n"
	end := "<!-- end of " + name + " -->"
	before, rest, ok := strings.Cut(page, begin)
	require.True(t, ok, "no section %s", name)
	_, after, ok := strings.Cut(rest, end)
	require.True(t, ok, "section %s has no end", name)
	return before + begin + text + end + after
}

// docs/CALLERS.md must list every refusal reason as the code defines it.
func TestCallersPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../docs/CALLERS.md")
	require.NoError(t, err)
	var b strings.Builder
	b.WriteString("| Reason | Status | Meaning | Send again? |\n|---|---|---|---|\n")
	for _, r := range reason.Refusals {
		d, _ := reason.Describe(r)
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s |\n", r, statusOf[r], d.Meaning, d.RetryAdvice)
	}
	requireGenerated(t, "../docs/CALLERS.md", replaceSection(t, string(page), "reasons", b.String()))
}
