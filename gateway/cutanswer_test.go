package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// answerForms are whole answers; %s is for the headers that each answer needs.
var answerForms = map[string]string{
	"length":                "HTTP/1.1 200 OK\r\n%sContent-Length: 12\r\n\r\nwhole answer",
	"length last":           "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n%s\r\nwhole answer",
	"no body":               "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n",
	"chunks":                "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n",
	"chunks with a trailer": "HTTP/1.1 200 OK\r\n%sTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\nX-Sum: 1\r\n\r\n",
	"interim answer before": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 12\r\n\r\nwhole answer",
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\n%sContent-Length: 12\r\n\r\nwhole answer",
	"no length":             "HTTP/1.1 200 OK\r\n%s\r\nwhole answer",
	"HTTP/1.0, no length":   "HTTP/1.0 200 OK\r\n%s\r\nwhole answer",
}

// callsAtOnce is the number of requests that are under way together.
const callsAtOnce = 16

// An upstream stops at any byte of its answer, also inside the head, and closes. The process of
// one whose answers have no length is gone then.
func TestAnswerCutAtAnyByteIsGivenAsWhole(t *testing.T) {
	for name, form := range answerForms {
		isDelimited := !strings.HasSuffix(name, "no length")
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.confirmsSoon = true
			d.configure()
			text := func(id string) string {
				return fmt.Sprintf(form, "Request-Id: "+id+"\r\nResponse-Seal: seal\r\n")
			}
			s := d.rawUpstream("i-1", counterService, func(c net.Conn, req *http.Request) {
				_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, req.ContentLength))
				id := req.Header.Get("Request-Id")
				cut, _ := strconv.Atoi(strings.TrimLeft(id, "r"))
				_, _ = io.WriteString(c, text(id)[:cut])
			})
			s.mute = !isDelimited
			e := d.startEntry("entry-1")
			length := len(text("r0000"))
			var calls sync.WaitGroup
			places := make(chan struct{}, callsAtOnce)
			for cut := range length {
				places <- struct{}{}
				calls.Go(func() {
					defer func() { <-places }()
					a := e.send(t, plainCall("order", fmt.Sprintf("r%04d", cut)))
					if a.err == nil && a.status == http.StatusOK {
						t.Errorf("cut after %d of %d bytes: 200 with body %q", cut, length, a.body)
					}
				})
			}
			calls.Wait()
			require.EqualValues(t, length, s.requests.Load(), "each cut has to be tried")
			if isDelimited {
				a := e.send(t, plainCall("order", fmt.Sprintf("r%04d", length)))
				require.NoError(t, a.err)
				require.Equal(t, http.StatusOK, a.status)
			}
		})
	}
}

// An upstream resets the connection right after the last event, and still answers for itself.
func TestStreamThatIsResetAfterItsLastEventIsWhole(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.rawUpstream("i-1", engineService, func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, req.ContentLength))
		resetAfter(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+"Content-Type: text/event-stream\r\n\r\n"+completeStream())
	})
	a := d.startEntry("entry-1").send(t, streamCall("once", "r-1"))
	requireBrokenOff(t, a)
}
