package guarantees

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
	"jaylink/upstream"
)

// shortStallTimeout makes an entry detect a stopped upstream within the time of a
// test.
const shortStallTimeout = "recovery: {stall: 500ms, first_token: 2s}"

// newAnswerFleet starts one entry and two engines in one availability zone.
func newAnswerFleet(t *testing.T) *completionFleet {
	f := &completionFleet{Fleet: testfleet.New(t), t: t}
	f.Upstream("engine", "caption-lm", "a1", "a", "r", "--slots", "32")
	f.Upstream("engine", "caption-lm", "a2", "a", "r", "--slots", "32")
	e := f.StartEntry("one", "a", "r", shortStallTimeout)
	f.Ready()
	f.Apply(e, captionObjects)
	return f
}

// An engine corrupts its streams. Each caller still gets the complete answer to its
// own request.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	for _, c := range engine.Corruptions {
		t.Run(string(c), func(t *testing.T) {
			t.Parallel()
			f := newAnswerFleet(t)
			f.Put("http://"+f.Nodes["a1"].Address+"/faults", engine.Faults{Corrupt: c})
			results := f.start("one")
			violations := f.countViolations(results)
			require.NotEmpty(t, f.runsOf("a1"), "no stream ran on the faulty engine")
			testfleet.Report(t, testfleet.Guarantee{Number: 2, Fault: "stream_" + string(c), Cases: callerCount, Violations: violations})
		})
	}
}

// An engine is stopped with SIGSTOP during its streams and continued after the
// streams moved to the other engine. Nothing that it sends then reaches a caller.
func TestFrozenUpstreamWakes(t *testing.T) {
	f := newAnswerFleet(t)
	results := f.start("one")
	f.awaitTokens(20, "a1", "a2")
	moved := 0
	for _, runs := range f.runsOf("a1") {
		moved += len(runs)
	}
	require.NotZero(t, moved)
	require.NoError(t, f.Nodes["a1"].Signal(syscall.SIGSTOP))
	f.awaitCounter("one", "request.retried.stream_broken", moved)
	require.NoError(t, f.Nodes["a1"].Signal(syscall.SIGCONT))
	testfleet.Report(t, testfleet.Guarantee{
		Number: 2, Fault: "upstream_frozen_and_woken", Cases: callerCount, Violations: f.countViolations(results),
	})
}

// allFrozenTime is how long all engines are stopped: longer than a stall and the wait for the first
// token of the next attempt.
const allFrozenTime = 3500 * time.Millisecond

// All engines are stopped for longer than a stream may be silent. No other one can take the
// requests, so that their callers wait, and get their whole answers.
func TestAllUpstreamsFrozenFailRequests(t *testing.T) {
	f := newAnswerFleet(t)
	results := f.start("one")
	f.awaitTokens(20, "a1", "a2")
	for _, name := range []string{"a1", "a2"} {
		require.NoError(t, f.Nodes[name].Signal(syscall.SIGSTOP))
	}
	time.Sleep(allFrozenTime)
	for _, name := range []string{"a1", "a2"} {
		require.NoError(t, f.Nodes[name].Signal(syscall.SIGCONT))
	}
	testfleet.Report(t, testfleet.Guarantee{
		Number: 2, Fault: "all_upstreams_frozen", Cases: callerCount, Violations: f.countViolations(results),
	})
}

// sendRequest performs one HTTP call and returns its status, headers and body. Status
// 0 means that the response was incomplete or missing.
func sendRequest(t *testing.T, method, url, account string, header http.Header, body string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Jaylink-Label-App", "captions")
	req.Header.Set("Jaylink-Label-Account", account)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, resp.Header, string(data)
	}
	return resp.StatusCode, resp.Header, string(data)
}

const twoCustomers = captionObjects + `
---
kind: Customer
name: mehta
spec: {selector: account=mehta}
`

// Only the customer that sent a request can read its answer by request ID, on the
// entry that accepted the request and on every other entry.
func TestReattachIsForTheOwnCustomer(t *testing.T) {
	f := newMultiZoneFleet(t, longDrain)
	f.Apply(f.Entries["a1"], twoCustomers)
	body, err := json.Marshal(upstream.Completion{Prompt: "દીપ", MaxTokens: 30})
	require.NoError(t, err)
	status, header, _ := sendRequest(t, http.MethodPost, f.Entries["a1"].URL("/v1/completions"), "desai", nil, string(body))
	require.Equal(t, http.StatusOK, status)
	path := "/v1/requests/" + header.Get("Jaylink-Request-Id")
	cases, violations := 0, 0
	for name, e := range f.Entries {
		for _, account := range []string{"mehta", "nobody", ""} {
			cases++
			status, _, body := sendRequest(t, http.MethodGet, e.URL(path), account, nil, "")
			if status != http.StatusForbidden || strings.Contains(body, engine.Text("દીપ", 1)) {
				t.Logf("entry %s gave account %q status %d: %s", name, account, status, body)
				violations++
			}
		}
		cases++
		status, _, body := sendRequest(t, http.MethodGet, e.URL(path), "desai", nil, "")
		if status != http.StatusOK || !strings.Contains(body, engine.Text("દીપ", 30)) {
			t.Logf("entry %s gave its customer status %d: %s", name, status, body)
			violations++
		}
	}
	testfleet.Report(t, testfleet.Guarantee{Number: 2, Fault: "reattach_wrong_customer", Cases: cases, Violations: violations})
}

// An entry is killed during its answers. No answer looks complete: a plain call fails
// with an error, and a stream has no end mark.
func TestTruncatedAnswerIsNotWhole(t *testing.T) {
	f := newAnswerFleet(t)
	violations := 0
	const cases = 4
	type result struct {
		status int
		body   string
	}
	results := make(chan result, cases)
	for i := range cases {
		body, err := json.Marshal(upstream.Completion{Prompt: "દીપ", MaxTokens: answerTokens, Stream: i%2 == 0})
		require.NoError(t, err)
		go func() {
			status, _, text := sendRequest(t, http.MethodPost, f.Entries["one"].URL("/v1/completions"), "desai", nil, string(body))
			results <- result{status, text}
		}()
	}
	require.NoError(t, procs.Await("the requests in flight", func() bool {
		s, err := f.Entries["one"].Client().Status(context.Background())
		return err == nil && s.InFlight == cases
	}))
	f.awaitTokens(20, "a1", "a2")
	f.kill("one")
	for range cases {
		if r := <-results; r.status == http.StatusOK || strings.Contains(r.body, upstream.StreamEnd) {
			violations++
		}
	}
	testfleet.Report(t, testfleet.Guarantee{Number: 2, Fault: "entry_killed", Cases: cases, Violations: violations})
}
