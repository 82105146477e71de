package main

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/operator"
)

const captions = `
kind: Service
name: captions
spec: {selector: app=captions, protocol: completions, upstreams: pool=captions, class: patient}
---
kind: Customer
name: c
spec: {selector: account=c}
---
kind: Policy
name: captions
spec: {selector: service=captions, idempotent: true}
`

// If a request is handed over because its entry stops, the entry that took it over
// can explain it.
func TestExplainFollowsARequestToAnotherEntry(t *testing.T) {
	s := newCLI(t)
	s.fleet.Upstream("engine", "captions", "captions-1", "a", "r", "--token-interval", "20ms")
	leaving := s.fleet.StartEntry("two", "a", "r", "drain: {leave_delay: 0s, timeout: 2s}")
	s.fleet.Ready()
	s.fleet.Apply(s.entry, captions)
	body := `{"prompt":"p","max_tokens":1000,"stream":true}`
	req, err := http.NewRequest(http.MethodPost, leaving.URL("/v1/completions"), strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Jaylink-Label-App", "captions")
	req.Header.Set("Jaylink-Label-Account", "c")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	id := resp.Header.Get("Jaylink-Request-Id")
	s.run(0, "drain", "--entry", leaving.Operator)
	require.NoError(t, procs.Await("the request on the other entry", func() bool {
		list, err := s.entry.Client().Decisions(t.Context(), operator.DecisionQuery{RequestID: id})
		return err == nil && len(list.Items) > 0
	}))
	out := s.run(0, "explain", id)
	require.Contains(t, out, "one taken_over request_id="+id)
	require.Contains(t, out, `cause="handed over"`)
	require.Contains(t, s.run(0, "status"), "one taken_over request_id="+id)
}
