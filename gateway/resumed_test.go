package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// rawAnswer returns an answer with a request's ID, further header lines and a body that
// ends with the connection, or by a length or chunks if framing says so.
func rawAnswer(status, id, header, framing, body string) string {
	head := "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + header
	switch framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", head, len(body), body)
	case "chunks":
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return head + "Connection: close\r\n\r\n" + body
}

const (
	rawSeal   = "Response-Seal: seal-raw\r\n"
	rawEvents = "Content-Type: text/event-stream\r\n"
)

// script has an upstream give one raw answer to every run.
func script(s *upstream.Server, answer func(requestID string) string) {
	s.Script = func(r upstream.Run) (string, bool) { return answer(r.RequestID), true }
}

// A stream breaks off, and the upstream at which it is resumed answers with something that
// does not continue it. Its bytes must not reach the caller, and the stream must not look
// complete: it goes on at a further upstream, or the caller's connection is closed.
func TestFailedResumptionEndsAStreamAsComplete(t *testing.T) {
	foreign := `{"error":"failed"}`
	answers := map[string]struct{ status, header, body string }{
		"400":                         {"400 Bad Request", rawSeal, foreign},
		"404 without a seal":          {"404 Not Found", "", foreign},
		"410 of a stream":             {"410 Gone", rawSeal + rawEvents, upstream.Event(2)},
		"302":                         {"302 Found", rawSeal + "Location: /other\r\n", foreign},
		"500":                         {"500 Internal Server Error", rawSeal, foreign},
		"429 that has run":            {"429 Too Many Requests", rawSeal, foreign},
		"long 404":                    {"404 Not Found", rawSeal, strings.Repeat("x", 2<<20)},
		"long 500":                    {"500 Internal Server Error", rawSeal, strings.Repeat("x", 2<<20)},
		"200 of another type":         {"200 OK", rawSeal + "Content-Type: application/json\r\n", foreign},
		"200 without a body":          {"200 OK", rawSeal, ""},
		"long 200 of another type":    {"200 OK", rawSeal, strings.Repeat("x", 2<<20)},
		"204":                         {"204 No Content", rawSeal, ""},
		"206 of a stream":             {"206 Partial Content", rawSeal + rawEvents, upstream.Event(2)},
		"stream without a seal":       {"200 OK", rawEvents, upstream.Event(2)},
		"stream with an encoding":     {"200 OK", rawSeal + rawEvents + "Content-Encoding: gzip\r\n", upstream.Event(2)},
		"type that begins like it":    {"200 OK", rawSeal + "Content-Type: text/event-streams\r\n", upstream.Event(2)},
		"stream that lacks one event": {"200 OK", rawSeal + rawEvents, upstream.Event(3)},
	}
	for name, a := range answers {
		for _, framing := range []string{"length", "chunks", "connection"} {
			for _, route := range []string{"stream", "persistent"} {
				if route == "persistent" && framing != "length" {
					continue
				}
				t.Run(fmt.Sprintf("%s, ends by %s, %s", name, framing, route), func(t *testing.T) {
					d := newDeployment(t)
					d.configure()
					d.upstream("i-bad", engineService).SetFault(upstream.CutInEvent)
					raw := func(id string) string { return rawAnswer(a.status, id, a.header, framing, a.body) }
					failing := d.upstreamIn("zone-b", "i-failing", engineService)
					script(failing, raw)
					if route == "persistent" {
						d.upstreamIn("zone-b", "i-good", engineService)
					}
					got := d.startEntry("entry-1").send(t, streamCall(route, "r-1"))
					require.Equal(t, 200, got.status)
					if route == "persistent" {
						require.NoError(t, got.err)
						require.Equal(t, completeStream(), got.body)
						return
					}
					require.Len(t, failing.Runs(), 1)
					require.Error(t, got.err, "the stream must not look complete")
					require.Equal(t, upstream.Event(0)+upstream.Event(1), got.body)
				})
			}
		}
	}
}

// Events without an ID can't be told from those of a second run, so a stream that had one is
// not resumed.
func TestStreamWithUnnumberedEventsIsNotRepeated(t *testing.T) {
	const unnumbered = "data: first\n\n"
	d := newDeployment(t)
	d.configure()
	script(d.upstream("i-bad", engineService), func(id string) string {
		return rawAnswer("200 OK", id, rawSeal+rawEvents, "", unnumbered+"data: sec")
	})
	good := d.upstreamIn("zone-b", "i-good", engineService)
	got := d.startEntry("entry-1").send(t, streamCall("stream", "r-1"))
	require.Error(t, got.err)
	require.Equal(t, unnumbered, got.body)
	require.Empty(t, good.Runs())
}
