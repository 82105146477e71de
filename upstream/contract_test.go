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

// events is a stream of server-sent events with the given data.
func events(data ...string) string {
	var b strings.Builder
	for _, d := range data {
		b.WriteString("data: " + d + "\n\n")
	}
	return b.String()
}

func chunk(text, finish string) string {
	return fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":%q}]}`, text, finish)
}

// engineCase is one answer of a model engine and what the client makes of it.
type engineCase struct {
	name    string
	answer  http.HandlerFunc
	outcome decision.Outcome
	ran     reason.Ran
	text    string // emitted
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

func cut(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if body != "" {
			_, _ = io.WriteString(w, body)
			_ = http.NewResponseController(w).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

var engineCases = []engineCase{
	{"whole", stream(events(chunk("a", ""), chunk("b", "length"), upstream.StreamEnd)), decision.OutcomeDone, reason.RanYes, "ab"},
	{"whole, with the request's ID", stream(events(chunk("a", "stop"), upstream.StreamEnd), upstream.HeaderRequestID, requestID), decision.OutcomeDone, reason.RanYes, "a"},
	{"usage after the last text", stream(events(chunk("a", "stop"), `{"choices":[],"usage":{"completion_tokens":1}}`, upstream.StreamEnd)), decision.OutcomeDone, reason.RanYes, "a"},
	{"answer of another request", stream(events(chunk("x", "stop"), upstream.StreamEnd), upstream.HeaderRequestID, "other/1"), decision.OutcomeBroken, reason.RanUnknown, ""},
	{"no end mark", stream(events(chunk("a", "length"))), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"no finish reason", stream(events(chunk("a", ""), upstream.StreamEnd)), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"nothing", stream(""), decision.OutcomeBroken, reason.RanUnknown, ""},
	{"event that is not JSON", stream(events(chunk("a", ""), "{")), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"cut in the middle", cut(events(chunk("a", ""))), decision.OutcomeBroken, reason.RanUnknown, "a"},
	{"cut before the status", cut(""), decision.OutcomeNoAnswer, reason.RanUnknown, ""},
	{"full", status(429), decision.OutcomeBusy, reason.RanNo, ""},
	{"not ready", status(503), decision.OutcomeBusy, reason.RanNo, ""},
	{"internal error", status(500), decision.OutcomeServerError, reason.RanUnknown, ""},
	{"bad gateway", status(502), decision.OutcomeServerError, reason.RanUnknown, ""},
	{"bad request", status(400), decision.OutcomeRejected, reason.RanNo, ""},
	{"unknown model", status(404), decision.OutcomeRejected, reason.RanNo, ""},
	{"prompt too long", status(413), decision.OutcomeRejected, reason.RanNo, ""},
	{"bad value", status(422), decision.OutcomeRejected, reason.RanNo, ""},
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

// The stand-in gives answers that the table knows, in each of its faults.
func TestStandinEngineKeepsTheContract(t *testing.T) {
	cases := []struct {
		name, faults string
		outcome      decision.Outcome
		ran          reason.Ran
	}{
		{"no fault", `{}`, decision.OutcomeDone, reason.RanYes},
		{"stream that breaks", `{"break_after":2}`, decision.OutcomeBroken, reason.RanUnknown},
		{"full", `{"refuse":true}`, decision.OutcomeBusy, reason.RanNo},
		{"crash", `{"crash_on":"p"}`, decision.OutcomeNoAnswer, reason.RanUnknown},
	}
	s := httptest.NewServer(engine.New(engine.Options{Slots: 1, QueueLength: 4, PrefixTokens: 16}))
	defer s.Close()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			put(t, s.URL+"/faults", c.faults)
			text, res := complete(t, s.Listener.Addr().String(), "p", 4)
			require.Equal(t, c.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, c.ran, res.Ran)
			require.True(t, strings.HasPrefix(engine.Text("p", 4), text))
			require.Equal(t, c.outcome == decision.OutcomeDone, text == engine.Text("p", 4))
		})
	}
}

func put(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// serviceCase is one answer of a plain service and what the client makes of it.
type serviceCase struct {
	name    string
	answer  http.HandlerFunc
	outcome decision.Outcome
	ran     reason.Ran
	status  int // 0: no answer is passed on
}

func sized(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", n)) }
}

func tooShort(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(code)
		_, _ = io.WriteString(w, "half")
	}
}

const maxAnswer = 100

var serviceCases = []serviceCase{
	{"answer", sized(3), decision.OutcomeDone, reason.RanYes, 200},
	{"answer at the limit", sized(maxAnswer), decision.OutcomeDone, reason.RanYes, 200},
	{"answer over the limit", sized(maxAnswer + 1), decision.OutcomeTooLarge, reason.RanYes, 0},
	{"not found is the service's own answer", status(404), decision.OutcomeDone, reason.RanYes, 404},
	{"redirect is the service's own answer", status(302), decision.OutcomeDone, reason.RanYes, 302},
	{"internal error", status(500), decision.OutcomeServerError, reason.RanUnknown, 500},
	{"cut before the status", cut(""), decision.OutcomeNoAnswer, reason.RanUnknown, 0},
	{"cut in the body of a success", tooShort(200), decision.OutcomeBroken, reason.RanYes, 0},
	{"cut in the body of an error", tooShort(500), decision.OutcomeBroken, reason.RanUnknown, 0},
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

func TestStandinServiceKeepsTheContract(t *testing.T) {
	cases := []struct {
		name, faults, method, uri string
		outcome                   decision.Outcome
		ran                       reason.Ran
		ranThere                  bool
	}{
		{"lookup", `{}`, "GET", "/orders/1", decision.OutcomeDone, reason.RanYes, true},
		{"booking", `{}`, "POST", "/bookings", decision.OutcomeDone, reason.RanYes, true},
		{"reset before it ran", `{"reset_before":1}`, "POST", "/bookings", decision.OutcomeNoAnswer, reason.RanUnknown, false},
		{"reset after it ran", `{"reset_after":1}`, "POST", "/bookings", decision.OutcomeNoAnswer, reason.RanUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := httptest.NewServer(service.New())
			defer s.Close()
			put(t, s.URL+"/faults", c.faults)
			_, res := forward(t, s.Listener.Addr().String(), c.method, c.uri)
			require.Equal(t, c.outcome, res.Outcome, "%v", res.Err)
			require.Equal(t, c.ran, res.Ran)
			resp, err := http.Get(s.URL + "/runs")
			require.NoError(t, err)
			defer resp.Body.Close()
			runs, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, c.ranThere, strings.Contains(string(runs), requestID))
		})
	}
}

// Without a connection it is certain that nothing ran.
func TestNoConnectionMeansThatNothingRan(t *testing.T) {
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
