package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/standin/engine"
	"jaylink/standin/service"
	"jaylink/upstream"
)

const requestID = "00112233445566778899aabbccddeeff.one/1"

// events returns a stream of server-sent events with the given data.
func events(data ...string) string {
	var b strings.Builder
	for _, d := range data {
		b.WriteString("data: " + d + "\n\n")
	}
	return b.String()
}

// chunk returns the data of one event.
func chunk(text, finish string) string {
	return fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":%q}]}`, text, finish)
}

// engineCase is one response of a model engine and the expected result of the
// client.
type engineCase struct {
	name    string
	answer  http.HandlerFunc
	outcome decision.Outcome
	ran     reason.Ran
	text    string // the text passed to Emit
}

func stream(body string, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if len(header) == 2 {
			w.Header().Set(header[0], header[1])
		}
		_, _ = io.WriteString(w, body)
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// refusal returns a handler that answers with a status and names a request.
func refusal(code int, id string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderRequestID, id)
		w.WriteHeader(code)
	}
}

// abort returns a handler that sends a part of a response and aborts the connection.
func abort(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if body != "" {
			_, _ = io.WriteString(w, body)
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

var engineCases = []engineCase{
	{"complete", stream(events(chunk("a", ""), chunk("b", "length"), upstream.StreamEnd)), decision.OutcomeDone, reason.RanYes, "ab"},
	{"complete, echoes the request ID", stream(events(chunk("a", "stop"), upstream.StreamEnd), upstream.HeaderRequestID, requestID), decision.OutcomeDone, reason.RanYes, "a"},
	{"usage after the last text", stream(events(chunk("a", "stop"), `{"choices":[],"usage":{"completion_tokens":1}}`, upstream.StreamEnd)), decision.OutcomeDone, reason.RanYes, "a"},
	{"response echoes another request ID", stream(events(chunk("x", "stop"), upstream.StreamEnd), upstream.HeaderRequestID, "other/1"), decision.OutcomeBroken, reason.RanUnknown, ""},
	{"refusal of another request", refusal(503, "other/1"), decision.OutcomeBroken, reason.RanUnknown, ""},
	{"rejection of another request", refusal(400, "other/1"), decision.OutcomeBroken, reason.RanUnknown, ""},
	{"refusal that echoes the request ID", refusal(503, requestID), decision.OutcomeBusy, reason.RanNo, ""},
	{"no end marker", stream(events(chunk("a", "length"))), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"no finish reason", stream(events(chunk("a", ""), upstream.StreamEnd)), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"empty stream", stream(""), decision.OutcomeBroken, reason.RanUnknown, ""},
	{"event that is not JSON", stream(events(chunk("a", ""), "{")), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"truncated stream", abort(events(chunk("a", ""))), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"connection closed before the status", abort(""), decision.OutcomeNoAnswer, reason.RanUnknown, ""},
	{"full", status(429), decision.OutcomeBusy, reason.RanNo, ""},
	{"not ready", status(503), decision.OutcomeBusy, reason.RanNo, ""},
	{"internal error", status(500), decision.OutcomeServerError, reason.RanUnknown, ""},
	{"bad gateway", status(502), decision.OutcomeServerError, reason.RanUnknown, ""},
	{"bad request", status(400), decision.OutcomeRejected, reason.RanNo, ""},
	{"unknown model", status(404), decision.OutcomeRejected, reason.RanNo, ""},
	{"prompt too long", status(413), decision.OutcomeRejected, reason.RanNo, ""},
	{"invalid value", status(422), decision.OutcomeRejected, reason.RanNo, ""},
	{"redirect", status(302), decision.OutcomeServerError, reason.RanUnknown, ""},
}

func TestClientReadsEveryAnswerOfAnEngine(t *testing.T) {
	for _, c := range engineCases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(c.answer)
			defer s.Close()
			text, res := complete(t, s.Listener.Addr().String(), "p", 2)
			require.Equal(t, c.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, c.ran, res.Ran)
			require.Equal(t, c.text, text)
			require.Equal(t, c.outcome == decision.OutcomeDone, res.Err == nil)
		})
	}
}

func complete(t *testing.T, address, prompt string, tokens int) (string, upstream.Result) {
	t.Helper()
	client := upstream.New(nil)
	defer client.Close()
	var b strings.Builder
	res := client.Complete(t.Context(), upstream.CompletionCall{
		Address: address, RequestID: requestID, Completion: upstream.Completion{Prompt: prompt, MaxTokens: tokens},
		Emit: func(text string, _ int) error { b.WriteString(text); return nil },
	})
	return b.String(), res
}

// Each fault of the stand-in engine leads to the same result as the matching
// response in engineCases.
func TestStandinEngineKeepsTheContract(t *testing.T) {
	cases := []struct {
		name, faults string
		outcome      decision.Outcome
		ran          reason.Ran
	}{
		{"no fault", `{}`, decision.OutcomeDone, reason.RanYes},
		{"broken stream", `{"break_after":2}`, decision.OutcomeBroken, reason.RanUnknown},
		{"full", `{"refuse":true}`, decision.OutcomeBusy, reason.RanNo},
		{"crash", `{"crash_on":"p"}`, decision.OutcomeNoAnswer, reason.RanUnknown},
	}
	s := httptest.NewServer(engine.New(engine.Options{Slots: 1, QueueLength: 4, PrefixTokens: 16}))
	defer s.Close()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			putFaults(t, s.URL+"/faults", c.faults)
			text, res := complete(t, s.Listener.Addr().String(), "p", 4)
			require.Equal(t, c.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, c.ran, res.Ran)
			require.True(t, strings.HasPrefix(engine.Text("p", 4), text))
			require.Equal(t, c.outcome == decision.OutcomeDone, text == engine.Text("p", 4))
		})
	}
}

func putFaults(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// serviceCase is one response of a plain service and the expected result of the
// client.
type serviceCase struct {
	name    string
	answer  http.HandlerFunc
	outcome decision.Outcome
	ran     reason.Ran
	status  int // status of the returned Answer; 0 if there is none
}

// bodyOfSize sends a body of n bytes.
func bodyOfSize(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", n)) }
}

// truncatedBody sends fewer bytes than its Content-Length.
func truncatedBody(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(code)
		_, _ = io.WriteString(w, "half")
	}
}

const maxAnswer = 100

var serviceCases = []serviceCase{
	{"answer", bodyOfSize(3), decision.OutcomeDone, reason.RanYes, 200},
	{"body of the maximum size", bodyOfSize(maxAnswer), decision.OutcomeDone, reason.RanYes, 200},
	{"body over the maximum size", bodyOfSize(maxAnswer + 1), decision.OutcomeTooLarge, reason.RanYes, 0},
	{"not found is returned unchanged", status(404), decision.OutcomeDone, reason.RanYes, 404},
	{"redirect is returned unchanged", status(302), decision.OutcomeDone, reason.RanYes, 302},
	{"internal error", status(500), decision.OutcomeServerError, reason.RanUnknown, 500},
	{"connection closed before the status", abort(""), decision.OutcomeNoAnswer, reason.RanUnknown, 0},
	{"truncated body of a success", truncatedBody(200), decision.OutcomeBroken, reason.RanYes, 0},
	{"truncated body of an error", truncatedBody(500), decision.OutcomeBroken, reason.RanUnknown, 0},
}

func TestClientReadsEveryAnswerOfAService(t *testing.T) {
	for _, c := range serviceCases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(c.answer)
			defer s.Close()
			answer, res := forward(t, s.Listener.Addr().String(), "GET", "/orders/1")
			require.Equal(t, c.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, c.ran, res.Ran)
			if c.status == 0 {
				require.Nil(t, answer)
			} else {
				require.Equal(t, c.status, answer.Status)
			}
		})
	}
}

func forward(t *testing.T, address, method, uri string) (*upstream.Answer, upstream.Result) {
	t.Helper()
	client := upstream.New(nil)
	defer client.Close()
	return client.Forward(t.Context(), upstream.ServiceCall{
		Address: address, RequestID: requestID, Method: method, URI: uri, Header: http.Header{}, MaxAnswer: maxAnswer,
	})
}

// The stand-in service leads to the expected results and executes a request or not
// as its fault says.
func TestStandinServiceKeepsTheContract(t *testing.T) {
	cases := []struct {
		name, faults, method, uri string
		outcome                   decision.Outcome
		ran                       reason.Ran
		executed                  bool
	}{
		{"lookup", `{}`, "GET", "/orders/1", decision.OutcomeDone, reason.RanYes, true},
		{"booking", `{}`, "POST", "/bookings", decision.OutcomeDone, reason.RanYes, true},
		{"connection reset before execution", `{"reset_before":1}`, "POST", "/bookings", decision.OutcomeNoAnswer, reason.RanUnknown, false},
		{"connection reset after execution", `{"reset_after":1}`, "POST", "/bookings", decision.OutcomeNoAnswer, reason.RanUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(service.New())
			defer s.Close()
			putFaults(t, s.URL+"/faults", c.faults)
			_, res := forward(t, s.Listener.Addr().String(), c.method, c.uri)
			require.Equal(t, c.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, c.ran, res.Ran)
			resp, err := http.Get(s.URL + "/runs")
			require.NoError(t, err)
			defer resp.Body.Close()
			runs, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, c.executed, strings.Contains(string(runs), requestID))
		})
	}
}

// If no connection could be established, the request is known not to have run.
func TestNoConnectionMeansNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	_, res := complete(t, address, "p", 1)
	require.Equal(t, decision.OutcomeConnectFailed, res.Outcome)
	require.Equal(t, reason.RanNo, res.Ran)
	_, res = forward(t, address, "POST", "/bookings")
	require.Equal(t, decision.OutcomeConnectFailed, res.Outcome)
	require.Equal(t, reason.RanNo, res.Ran)
}
