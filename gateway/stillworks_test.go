package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// workPace is the time between two steps of an upstream that works on.
const workPace = 10 * time.Millisecond

// readsOn works until it reads that the entry has left, and writesOn until it can't write any more.
// Both return false if that is not so within waitLimit.
func readsOn(c net.Conn) bool {
	// An error means that the connection is closed, which the read shows.
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	_, err := io.Copy(io.Discard, c)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

func writesOn(c net.Conn) bool {
	ticks := time.NewTicker(workPace)
	defer ticks.Stop()
	end := time.After(waitLimit)
	for {
		select {
		case <-end:
			return false
		case <-ticks.C:
			if _, err := io.WriteString(c, "1\r\n:\r\n"); err != nil {
				return true
			}
		}
	}
}

// workCase is an attempt after which a request goes on elsewhere while its upstream works on.
type workCase struct {
	route, text string
	work        func(net.Conn) bool
	longBody    bool
	// halfCloses has the upstream close its sending side, and then not tell whether it runs.
	halfCloses bool
}

func workCases() map[string]workCase {
	const stream = "HTTP/1.1 200 OK\r\nSEAL\r\nContent-Type: text/event-stream\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	event := upstream.Event(0)
	first := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	return map[string]workCase{
		"no head":                      {route: "status", work: readsOn},
		"no head of a stream":          {route: "stream", work: readsOn},
		"interim answers":              {route: "status", text: "HTTP/1.1 103 Early Hints\r\n\r\n", work: readsOn},
		"silent stream":                {route: "stream", text: stream + chunked + first, work: readsOn},
		"silent stream that is cut":    {route: "stream", text: stream + chunked + first + "9\r\nid: 1\n", work: readsOn},
		"comments alone":               {route: "stream", text: stream + chunked + first, work: writesOn},
		"without a length":             {route: "stream", text: stream + "\r\n" + event, work: readsOn},
		"half-closed":                  {route: "stream", text: stream + "\r\n" + event, work: readsOn, halfCloses: true},
		"event too long":               {route: "stream", text: stream + "\r\ndata: " + strings.Repeat("x", 70_000), work: readsOn},
		"without a seal":               {route: "status", text: "HTTP/1.1 200 OK\r\nID\r\n" + chunked, work: writesOn},
		"stream without a seal":        {route: "stream", text: "HTTP/1.1 200 OK\r\nID\r\nContent-Type: text/event-stream\r\n" + chunked, work: writesOn},
		"busy, and not unrun":          {route: "status", text: "HTTP/1.1 503 Busy\r\nSEAL\r\n" + chunked, work: writesOn},
		"answers of others":            {route: "status", text: strings.Repeat("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", 5), work: readsOn},
		"no HTTP":                      {route: "status", text: "\x00\r\n\r\n", work: readsOn},
		"no head, request unread":      {route: "status", work: writesOn, longBody: true},
		"without a seal, body unread":  {route: "status", text: "HTTP/1.1 200 OK\r\nID\r\n" + chunked, work: writesOn, longBody: true},
		"request unread until the end": {route: "status", work: readsOn, longBody: true},
	}
}

// A request has gone on at another upstream, and the first one works on without an end. It must
// notice that the entry has left while the other one runs, also behind a proxy.
func TestFirstUpstreamWorksOnBesideTheNext(t *testing.T) {
	for name, c := range workCases() {
		for _, path := range []string{"direct", "proxy"} {
			if c.longBody && path == "proxy" {
				// The proxy of these tests looks at no connection to which it is writing.
				continue
			}
			t.Run(name+", "+path, func(t *testing.T) {
				d := newDeployment(t)
				d.maxBody, d.timeout, d.confirmsSoon = 1<<20, time.Minute, c.halfCloses
				d.configure()
				call, service := plainCall(c.route, "r-1"), counterService
				if c.route == "stream" {
					call, service = streamCall(c.route, "r-1"), engineService
				}
				call.Deadline = time.Minute
				if c.longBody {
					call.Body = strings.Repeat("x", 1<<20)
				}
				left := make(chan bool, 1)
				first := d.rawUpstream("i-1", service, func(conn net.Conn, req *http.Request) {
					writes(c.text)(conn, req)
					if c.halfCloses {
						_ = conn.(*net.TCPConn).CloseWrite()
					}
					select {
					case left <- c.work(conn):
					case <-t.Context().Done():
					}
				})
				first.mute = c.halfCloses
				if path == "proxy" {
					d.store.PutUpstream("i-1", service, newForwarder(t, first.listener.Addr().String()).address(), "zone-a", "ready")
				}
				noticed := make(chan bool, 1)
				second := d.rawUpstream("i-2", service, func(conn net.Conn, req *http.Request) {
					// A silent request is sent again on a slow machine, and there is one result.
					select {
					case ok := <-left:
						select {
						case noticed <- ok:
						case <-t.Context().Done():
						}
					case <-t.Context().Done():
					}
					writes("HTTP/1.1 200 OK\r\nSEAL\r\nContent-Length: 0\r\n\r\n")(conn, req)
				})
				d.store.PutUpstream("i-2", service, second.listener.Addr().String(), "zone-b", "ready")
				answers := d.startEntry("entry-1").sendAsync(t, call)
				select {
				case ok := <-noticed:
					require.True(t, ok, "the first upstream works on")
				case a := <-answers:
					t.Fatalf("answered before it went on elsewhere: %d %v", a.status, a.err)
				}
				<-answers
			})
		}
	}
}
