package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/notrun"
	"jaylink/decision/reason"
	"jaylink/internal/metricstext"
	"jaylink/serving"
)

// pageOf returns the metrics page.
func pageOf(t *testing.T, c *counters) string {
	t.Helper()
	var page bytes.Buffer
	require.NoError(t, metricstext.Write(&page, c.registry))
	return page.String()
}

// Every reason and every state change has a counter on the page before the first event.
func TestEveryReasonHasACounter(t *testing.T) {
	page := pageOf(t, newCounters())
	has := func(family string, label string) {
		require.Contains(t, page, family+`{reason="`+label+`"} 0`)
	}
	for _, code := range reason.Refusals {
		has("jaylink_request_refused_total", string(code))
	}
	for _, code := range reason.Retries {
		has("jaylink_request_retried_total", string(code))
		has("jaylink_attempt_unanswered_total", string(code))
	}
	for _, proof := range notrun.Proofs {
		has("jaylink_attempt_not_run_total", string(proof))
	}
	for _, change := range stateChanges {
		has("jaylink_belief_changed_total", string(change))
	}
}

// Every registered metric is on the page.
func TestEveryMetricIsOnThePage(t *testing.T) {
	c := newCounters()
	r := &request{service: &serving.Service{Name: "lm"}, route: &serving.Route{Streaming: true}}
	for _, what := range []string{"first_event_ms", "total_ms", "pause_ms"} {
		c.recordLatency(what, r, time.Second)
	}
	c.recordStoreCall("list", time.Millisecond, errors.New("down"))
	page := pageOf(t, c)
	count := 0
	c.registry.Each(func(string, any) { count++ })
	series := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(page), "\n") {
		if !strings.HasPrefix(line, "#") && !strings.Contains(line, "quantile=") && !strings.Contains(line, "_sum") {
			series[line[:strings.LastIndex(line, " ")]] = true
		}
	}
	require.Len(t, series, count)
	for _, want := range []string{
		`jaylink_latency_first_event_ms{service="lm",class="stream",quantile="0.99"} 1000`,
		`jaylink_latency_pause_ms_count{service="lm",class="stream"} 1`,
		`jaylink_store_call_ms_count{call="list"} 1`, "jaylink_store_errors_total 1", "jaylink_store_calls_total 1",
		"jaylink_configuration_age_ms", "jaylink_peer_silence_ms", "jaylink_duties_held", "jaylink_log_dropped", "jaylink_log_limited",
	} {
		require.Contains(t, page, want)
	}
}
