package gateway

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/answer"
	"jaylink/platform"
	"jaylink/serving"
	"jaylink/upstream/exchange"
)

// A process ends with an answer and is replaced under its ID. The new one answers a later inquiry, about
// an answer of its own. That must not confirm the end of the earlier answer.
func TestLaterProcessConfirmsAnEarlierEnd(t *testing.T) {
	const instance = 1
	u := serving.Upstream{ID: "i-1", StartMillis: 7}
	for name, tc := range map[string]struct {
		statement answer.Statement
		process   answer.Process
		shared    bool
	}{
		"by ID":         {answer.Statement{Answered: true, ID: "i-1"}, answer.Running, false},
		"by start time": {answer.Statement{Answered: true, StartMillis: 7}, answer.Running, true},
		"by connection": {answer.Statement{Answered: true, ID: "i-1", Kept: true}, answer.Running, true},
		"other process": {answer.Statement{Answered: true, StartMillis: 8}, answer.Gone, true},
		"nothing":       {answer.Statement{}, answer.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := inquiries{active: map[uint64][]*inquiry{}}
			sent := time.Now()
			earlier, begins := s.join(instance, sent)
			require.True(t, begins)
			later, begins := s.join(instance, sent.Add(time.Second))
			require.True(t, begins)
			require.Equal(t, sent, later.sent, "its connection has to be older than the first request")
			var reply answer.Inquiry
			reply.Add(u, tc.statement)
			s.finish(instance, later, reply)
			require.Equal(t, tc.process, later.reply.Process)
			select {
			case <-earlier.done:
				require.True(t, tc.shared)
				require.Equal(t, tc.process, earlier.reply.Process)
			default:
				require.False(t, tc.shared)
			}
			s.finish(instance, earlier, answer.Inquiry{})
			require.Empty(t, s.active)
		})
	}
}

// The late answer to an earlier request arrives on a kept connection in place of a health check. What
// stands in its body is not the start time of the upstream.
func TestLateAnswerStatesTheStartTime(t *testing.T) {
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	u := serving.Upstream{ID: "i-1", Address: "127.0.0.1:1", StartMillis: 7}
	reply := exchange.Reply{Status: http.StatusOK, Header: http.Header{"Request-Id": {"r-1"}}, Body: []byte(`{"born":9}`)}
	var seen answer.Inquiry
	g.addStatement(process{listed: u, started: u}, &seen, reply, nil, true)
	require.Equal(t, u, g.processStarts.current(u))
	require.Equal(t, answer.Unknown, seen.Process)
}
