package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// bufferSize is the number of bytes of an answer that entries buffer.
const bufferSize = 1 << 20

// unsealedKinds are answers with a success status that are not the upstream's own.
var unsealedKinds = []struct{ status, header string }{
	{"200 OK", ""}, {"201 Created", ""}, {"200 OK", "Response-Seal: \r\n"}, {"200 OK", rawSeal + "Content-Encoding: gzip\r\n"},
	{"200 OK", rawSeal + "Content-Encoding:\r\nContent-Encoding: br\r\n"}, {"200 OK", rawEvents}, {"200 OK", "Content-Type: Text/Event-Stream\r\n"},
}

var (
	framings    = []string{"length", "chunks", "connection"}
	answerSizes = []int{0, 100, bufferSize - 1, bufferSize, bufferSize + 1, 3 * bufferSize}
)

// An upstream sends bytes with a success status that are not its answer: they have no seal,
// or an encoding that no caller asked for. They must not reach the caller of a request that
// may not be repeated, whatever their length and framing.
func TestLongAnswerWithoutASealIsPassedOn(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	var raw func(id string) string
	script(d.upstream("i-1", counterService), func(id string) string { return raw(id) })
	e := d.startEntry("entry-1")
	for _, kind := range unsealedKinds {
		for _, framing := range framings {
			for _, size := range answerSizes {
				t.Run(fmt.Sprintf("%s %q, %s, %d bytes", kind.status, kind.header, framing, size), func(t *testing.T) {
					raw = func(id string) string {
						return rawAnswer(kind.status, id, kind.header, framing, strings.Repeat("x", size))
					}
					got := e.send(t, plainCall("order", "r-"+t.Name()))
					require.NoError(t, got.err)
					require.Equal(t, http.StatusBadGateway, got.status)
				})
			}
		}
	}
}

// The same for requests that may be repeated: another upstream answers them.
func TestAnswerWithoutASealIsRetriedElsewhere(t *testing.T) {
	for n, kind := range unsealedKinds {
		framing, size := framings[n%len(framings)], answerSizes[n%len(answerSizes)]
		t.Run(fmt.Sprintf("%s %q, %s, %d bytes", kind.status, kind.header, framing, size), func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			bad := d.upstream("i-bad", counterService)
			script(bad, func(id string) string {
				return rawAnswer(kind.status, id, kind.header, framing, strings.Repeat("x", size))
			})
			d.upstreamIn("zone-b", "i-good", counterService)
			got := d.startEntry("entry-1").send(t, plainCall("status", "r-1"))
			require.NoError(t, got.err)
			require.Len(t, bad.Runs(), 1)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "answer to /status/1?x=1", got.body)
		})
	}
}

// Answers of every length reach the caller as the upstream sent them if they are its own, and
// failures too. A failure without a seal that does not fit into the buffer is no answer.
func TestLongAnswersAreRelayedUnchanged(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	var raw func(id string) string
	script(d.upstream("i-1", counterService), func(id string) string { return raw(id) })
	e := d.startEntry("entry-1")
	for _, tc := range []struct {
		status, header, route string
		want                  int
	}{
		{"200 OK", rawSeal, "order", 200}, {"200 OK", rawSeal, "status", 200}, {"201 Created", rawSeal, "order", 201},
		{"404 Not Found", rawSeal, "order", 404}, {"302 Found", rawSeal, "status", 302}, {"500 Oops", rawSeal, "order", 500},
		{"404 Not Found", "", "order", 404}, {"500 Oops", "", "order", 500},
	} {
		for _, framing := range framings {
			for _, size := range answerSizes {
				t.Run(fmt.Sprintf("%s %q, %s, %s, %d bytes", tc.status, tc.header, tc.route, framing, size), func(t *testing.T) {
					body := strings.Repeat("0123456789abcdef", size/16+1)[:size]
					raw = func(id string) string { return rawAnswer(tc.status, id, tc.header, framing, body) }
					got := e.send(t, plainCall(tc.route, "r-"+t.Name()))
					require.NoError(t, got.err)
					if tc.header == "" && size > bufferSize {
						require.Equal(t, http.StatusBadGateway, got.status)
						return
					}
					require.Equal(t, tc.want, got.status)
					require.Equal(t, body, got.body)
					require.Equal(t, tc.header != "", got.header.Get("Response-Seal") == "seal-raw")
				})
			}
		}
	}
}

// A failure that is too long for the buffer does not keep the request from another upstream.
func TestLongFailureIsRetriedElsewhere(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	script(d.upstream("i-bad", counterService), func(id string) string {
		return rawAnswer("500 Oops", id, rawSeal, "chunks", strings.Repeat("x", 2*bufferSize))
	})
	d.upstreamIn("zone-b", "i-good", counterService)
	got := d.startEntry("entry-1").send(t, plainCall("status", "r-1"))
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer to /status/1?x=1", got.body)
}
