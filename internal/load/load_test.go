package load

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/internal/workload"
)

func profile(path string, answer int) *workload.Profile {
	return &workload.Profile{
		Duration:  api.Duration(time.Second),
		Customers: []workload.Customer{{Token: "t", Share: 1}},
		Streams:   []workload.Stream{{Name: "s", Method: http.MethodPost, Path: path, Rate: 40, AnswerTokens: answer, Templates: 1, TemplateTokens: 2}},
	}
}

func TestLoadGoesToLoopbackOnly(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "example", ""} {
		_, err := Run(t.Context(), Options{Profile: profile("/", 0), Entries: []string{address}, Scale: 1})
		require.Error(t, err, address)
	}
}

func TestLoadIsBounded(t *testing.T) {
	p := profile("/", 0)
	p.Streams[0].Rate = 2 * maxRequests
	_, err := Run(t.Context(), Options{Profile: p, Entries: []string{"127.0.0.1:9"}, Scale: 1})
	require.ErrorContains(t, err, "at most")
}

// Every request is counted exactly once, under its outcome.
func TestReportCountsWhatCallersSaw(t *testing.T) {
	chunk := `data: {"choices":[{"text":"a"}],"usage":{"completion_tokens":7}}` + "\n\n"
	cases := []struct {
		name   string
		answer int
		reply  func(w http.ResponseWriter)
		check  func(s *Stream) int
	}{
		{"plain", 0, func(w http.ResponseWriter) { fmt.Fprint(w, "ok") }, func(s *Stream) int { return s.Answered }},
		{"refused", 0, func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"reason":"queue_full"}`)
		}, func(s *Stream) int { return s.Refused[reason.QueueFull] }},
		{"stream", 5, func(w http.ResponseWriter) { fmt.Fprint(w, chunk+"data: [DONE]\n\n") }, func(s *Stream) int { return s.Answered }},
		{"truncated stream", 5, func(w http.ResponseWriter) { fmt.Fprint(w, chunk) }, func(s *Stream) int { return s.Broken }},
		{"stream that fails", 5, func(w http.ResponseWriter) {
			fmt.Fprint(w, chunk+"event: error\ndata: {\"reason\":\"timed_out\"}\n\n")
		}, func(s *Stream) int { return s.Refused[reason.TimedOut] }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "Bearer t" {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				tc.reply(w)
			}))
			defer server.Close()
			p := profile("/v1/completions", tc.answer)
			report, err := Run(t.Context(), Options{Profile: p, Entries: []string{strings.TrimPrefix(server.URL, "http://")}, Seed: 1, Scale: 1})
			require.NoError(t, err)
			s := report.Streams["s"]
			require.Len(t, p.Arrivals(1, 1), s.Sent)
			require.Equal(t, s.Sent, tc.check(s))
		})
	}
}

func TestSameSeedDrawsTheSameArrivals(t *testing.T) {
	p := profile("/", 3)
	require.Equal(t, p.Arrivals(5, 1), p.Arrivals(5, 1))
	require.NotEqual(t, p.Arrivals(5, 1), p.Arrivals(6, 1))
}
