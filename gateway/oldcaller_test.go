package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
	"jaylink/standin/upstream"
)

// sendOld sends a request of HTTP/1.0, which knows no chunks, and returns all bytes of the answer
// and how it ended.
func (e *entry) sendOld(t *testing.T, call caller.Call) (string, error) {
	t.Helper()
	req, err := call.Request(t.Context(), e.settings.Front)
	require.NoError(t, err)
	var request bytes.Buffer
	require.NoError(t, req.Write(&request))
	c, err := net.Dial("tcp", e.settings.Front)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(waitLimit)))
	_, err = io.WriteString(c, strings.Replace(request.String(), " HTTP/1.1\r\n", " HTTP/1.0\r\n", 1))
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	return string(answer), err
}

// The answer to a caller of HTTP/1.0 ends with the connection. It must not end with a close if it
// is incomplete.
func TestBrokenAnswerLooksCompleteToCallersWithoutChunks(t *testing.T) {
	for name, fault := range map[string]upstream.Fault{"whole": upstream.Sound, "upstream crashes": upstream.CrashInStream, "cut in an event": upstream.CutInEvent} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			s := d.upstream("i-1", engineService)
			s.Down = time.Minute
			s.SetFault(fault)
			answer, err := d.startEntry("entry-1").sendOld(t, streamCall("once", "r-1"))
			if fault == upstream.Sound {
				require.NoError(t, err)
				require.True(t, strings.HasSuffix(answer, completeStream()), answer)
				return
			}
			require.ErrorIs(t, err, syscall.ECONNRESET, answer)
		})
	}
}

// The same with an answer that is too long to be buffered.
func TestBrokenLongAnswerLooksCompleteToCallersWithoutChunks(t *testing.T) {
	for name, isWhole := range map[string]bool{"whole": true, "cut": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.configure()
			body := strings.Repeat("x", 3<<20)
			d.rawUpstream("i-1", counterService, func(c net.Conn, req *http.Request) {
				_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, req.ContentLength))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body))
				if isWhole {
					_, _ = io.WriteString(c, "0\r\n\r\n")
				}
			})
			answer, err := d.startEntry("entry-1").sendOld(t, plainCall("order", "r-1"))
			if isWhole {
				require.NoError(t, err)
				require.True(t, strings.HasSuffix(answer, body))
				return
			}
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}
