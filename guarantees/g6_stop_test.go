package guarantees

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
	"jaylink/upstream"
)

const captionObjects = `
kind: Service
name: caption-lm
spec: {selector: app=captions, protocol: completions, upstreams: pool=caption-lm, class: patient}
---
kind: Customer
name: desai
spec: {selector: account=desai}
---
kind: Policy
name: captions
spec: {selector: service=caption-lm, idempotent: true, max_attempts: 8}
`

// sendCaption sends one completion as a plain call and returns its text and its status.
// Status 0 means that the connection failed.
func sendCaption(t *testing.T, e *testfleet.Entry, prompt string, tokens int) (string, int) {
	t.Helper()
	body, err := json.Marshal(upstream.Completion{Prompt: prompt, MaxTokens: tokens})
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, e.URL("/v1/completions"), strings.NewReader(string(body)))
	require.NoError(t, err)
	req.Header.Set("Jaylink-Label-App", "captions")
	req.Header.Set("Jaylink-Label-Account", "desai")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", resp.StatusCode
	}
	var chunk upstream.Chunk
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return string(data), resp.StatusCode
	}
	return chunk.Choices[0].Text, resp.StatusCode
}

// A SIGTERM interrupts no completion that is in flight.
func TestStopCutsOffNoRequestInFlight(t *testing.T) {
	const callers, tokens = 8, 60
	f := testfleet.New(t)
	f.Upstream("engine", "caption-lm", "e1", "a", "r")
	f.Upstream("engine", "caption-lm", "e2", "b", "r")
	e := f.StartEntry("one", "a", "r", "drain: {leave_delay: 50ms}")
	f.Ready()
	f.Apply(e, captionObjects)
	texts := make(chan string, callers)
	for range callers {
		go func() {
			text, _ := sendCaption(t, e, "દીપ", tokens)
			texts <- text
		}()
	}
	require.NoError(t, procs.Await("the requests in flight", func() bool {
		s, err := e.Client().Status(t.Context())
		return err == nil && s.InFlight == callers
	}))
	require.NoError(t, e.Signal(syscall.SIGTERM))
	violations := 0
	for range callers {
		if <-texts != engine.Text("દીપ", tokens) {
			violations++
		}
	}
	<-e.Done()
	testfleet.Report(t, testfleet.Guarantee{Number: 6, Fault: "sigterm_plain_calls", Cases: callers, Violations: violations})
}
