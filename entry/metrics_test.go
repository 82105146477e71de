package entry

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/internal/metricstext"
)

func metricNames(c *counters) []string {
	var names []string
	c.registry.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	return names
}

// Every refusal reason has a counter and an HTTP status, and every retry reason
// has a counter.
func TestEveryReasonHasACounter(t *testing.T) {
	c := newCounters()
	for _, why := range reason.Refusals {
		require.Contains(t, metricNames(c), "request.refused."+string(why))
		require.NotZero(t, statusOf[why], "%s has no HTTP status in problem.go", why)
		c.countRefusal(why)
		require.EqualValues(t, 1, c.refused[why].Count())
	}
	for _, why := range reason.Retries {
		require.Contains(t, metricNames(c), "request.retried."+string(why))
		c.countRetry(why)
		require.EqualValues(t, 1, c.retried[why].Count())
	}
}

var metricRowRE = regexp.MustCompile("(?m)^\\| `([a-z0-9_.]+)` \\|")

// The rows for reasons in docs/METRICS.md are generated from reason.Refusals and
// reason.Retries.
func TestMetricsPageHasEveryReason(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	require.NoError(t, err)
	text := replaceSection(t, string(page), "refusals", reasonRows("request.refused.", reason.Refusals))
	text = replaceSection(t, text, "retries", reasonRows("request.retried.", reason.Retries))
	requireGenerated(t, "../docs/METRICS.md", text)
}

func reasonRows(prefix string, reasons []reason.Reason) string {
	var b strings.Builder
	b.WriteString("| Name | Kind | Meaning |\n|---|---|---|\n")
	for _, r := range reasons {
		d, _ := reason.Describe(r)
		fmt.Fprintf(&b, "| `%s%s` | counter | %s |\n", prefix, r, d.Meaning)
	}
	return b.String()
}

// docs/METRICS.md has one row for each metric of an entry and no other rows.
func TestMetricsPageIsCurrent(t *testing.T) {
	f := newFixture(t)
	page, err := os.ReadFile("../docs/METRICS.md")
	require.NoError(t, err)
	var rows []string
	for _, m := range metricRowRE.FindAllStringSubmatch(string(page), -1) {
		rows = append(rows, m[1])
	}
	slices.Sort(rows)
	require.Equal(t, metricNames(f.metrics), rows, "docs/METRICS.md is out of date: add or remove rows")
}

// metricLineRE matches a line of the text format that scrapers read.
var metricLineRE = regexp.MustCompile(`^(# TYPE jaylink_[a-z_]+ (counter|gauge|summary)|jaylink_[a-z_]+(\{[a-z]+="[a-z0-9_.]+"\})? -?[0-9.e+]+)$`)

func TestMetricsTextForm(t *testing.T) {
	f := newFixture(t)
	sendTo(t, "GET", "http://"+f.settings.Listen.Caller+"/orders/1", "", appDesk, accountC)
	sendTo(t, "GET", "http://"+f.settings.Listen.Caller+"/orders/1", "", appDesk)
	a := sendTo(t, "GET", "http://"+f.settings.Listen.Operator+"/metrics", "")
	require.Equal(t, metricstext.ContentType, a.Header.Get("Content-Type"))
	for line := range strings.Lines(a.body) {
		require.Regexp(t, metricLineRE, strings.TrimSuffix(line, "\n"))
	}
	require.Contains(t, a.body, "# TYPE jaylink_request_refused_total counter\n")
	require.Contains(t, a.body, "\njaylink_request_refused_total{reason=\"unknown_customer\"} 1\n")
	require.Contains(t, a.body, "\njaylink_request_answered_total 1\n")
	require.Contains(t, a.body, "\njaylink_request_in_flight 0\n")
	require.Equal(t, 1, strings.Count(a.body, "# TYPE jaylink_request_refused_total"))
}
