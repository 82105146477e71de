package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
)

// An engine answers a completion, which may continue one that broke off, with something that is
// no stream of completion events. None of its bytes become text of the answer, and the attempt
// does not count as complete.
func TestForeignAnswerBecomesPartOfACompletion(t *testing.T) {
	const foreign = `{"error":"failed"}`
	for name, raw := range map[string]string{
		"400":                 "HTTP/1.1 400 Bad\r\nContent-Length: 18\r\n\r\n" + foreign,
		"404 as a stream":     "HTTP/1.1 404 No\r\nContent-Type: text/event-stream\r\n\r\ndata: " + foreign + "\n\ndata: [DONE]\n\n",
		"302":                 "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 18\r\n\r\n" + foreign,
		"410":                 "HTTP/1.1 410 Gone\r\n\r\n" + foreign,
		"500":                 "HTTP/1.1 500 Oops\r\nContent-Length: 18\r\n\r\n" + foreign,
		"204":                 "HTTP/1.1 204 None\r\n\r\n",
		"206 of a stream":     "HTTP/1.1 206 Part\r\n\r\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\n",
		"200 of another type": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 18\r\n\r\n" + foreign,
		"200 without a body":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"end mark alone":      "HTTP/1.1 200 OK\r\n\r\ndata: [DONE]\n\n",
		"failure as an event": "HTTP/1.1 200 OK\r\n\r\ndata: " + foreign + "\n\ndata: [DONE]\n\n",
		"head in the stream":  "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 500 Oops\r\nContent-Length: 18\r\n\r\n" + foreign,
	} {
		t.Run(name, func(t *testing.T) {
			p := newTCPUpstream(t, func(p *tcpUpstream, c net.Conn, r *bufio.Reader) {
				if p.readRequest(r) {
					_, _ = io.WriteString(c, raw)
				}
			})
			client := New(nil)
			defer client.Close()
			text := ""
			res := client.Complete(t.Context(), CompletionCall{
				Address: p.Addr().String(), RequestID: "r/1", Completion: Completion{Model: "m", Prompt: "p", MaxTokens: 4}.Resume("begun ", 1),
				Emit: func(s string, _ int) error { text += s; return nil },
			})
			require.NotEqual(t, decision.OutcomeDone, res.Outcome)
			require.Empty(t, text)
		})
	}
}
