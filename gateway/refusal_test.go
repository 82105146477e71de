package gateway

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/quota"
	"jaylink/decision/reason"
	"jaylink/platform"
	"jaylink/serving"
)

// The log line of a refusal has the values that led to it.
func TestRefusalLogsItsInputs(t *testing.T) {
	var out bytes.Buffer
	g := New(platform.Settings{Name: "entry-1"}, slog.New(slog.NewJSONHandler(&out, nil)))
	g.quota.Set(time.Now().Add(-time.Minute), "c", quota.Allowance{Rate: 100, Burst: 50})
	newRequest := func(tokens int) *request {
		return &request{
			http: httptest.NewRequest(http.MethodPost, "/", nil), reply: reply{w: httptest.NewRecorder()}, arrived: time.Now(),
			customer: &serving.Customer{Name: "c", CountsTokens: true}, route: &serving.Route{Name: "r"},
			service: &serving.Service{Name: "s"}, CallerHeaders: platform.CallerHeaders{Prompt: &serving.Prompt{Input: tokens}},
		}
	}
	require.Nil(t, g.admitWork(newRequest(1000)))
	r := newRequest(10)
	refused := g.admitWork(r)
	require.NotNil(t, refused)
	require.Equal(t, reason.CustomerLimit, refused.reason)
	g.refuse(r, refused)
	var line map[string]any
	require.NoError(t, json.Unmarshal(bytes.TrimSpace(out.Bytes()), &line))
	require.EqualValues(t, 10, line["asked"])
	require.EqualValues(t, 100, line["allowance_rate"])
	require.EqualValues(t, 50, line["allowance_burst"])
	require.Less(t, line["allowance_level"], -900.0)
	for _, key := range []string{"allowance_part", "allowance_demand", "allowance_share", "silent_peers", "retry_after"} {
		require.Contains(t, line, key)
	}
}
