package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/caller"
)

// fullUpstream starts an upstream whose answers end with their connections, and which turns away
// the next calls for its state.
func (d *deployment) fullUpstream(id, service string, calls int64) {
	s := d.rawUpstream(id, service, func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, req.ContentLength))
		kind := ""
		if service == engineService {
			kind = "Content-Type: text/event-stream\r\n"
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+kind+sealedHead(req)+"\r\nid: 0\ndata: whole\n\n")
	})
	s.full.Store(calls)
}

// sendInDoubt sends a request with an entry that has other times for the end of its answer.
func (d *deployment) sendInDoubt(call caller.Call, last, other time.Duration) answer {
	e := d.newEntry("entry-1")
	e.SetConfirmTimeouts(last, other)
	d.start(e)
	call.Deadline = waitLimit
	return e.send(d.t, call)
}

// Another upstream is listed, but the retry budget is empty: the end of a sound answer is not given
// up sooner for it.
func TestEndInDoubtIsGivenUpWithoutAnAlternative(t *testing.T) {
	for service, call := range map[string]caller.Call{
		engineService: streamCall("stream", "r-1"), counterService: plainCall("status", "r-1"),
	} {
		t.Run(service, func(t *testing.T) {
			d := newDeployment(t)
			d.timeout, d.noRetries = time.Minute, true
			d.configure()
			d.fullUpstream("i-1", service, 4)
			d.fullUpstream("i-2", service, 4)
			a := d.sendInDoubt(call, waitLimit, time.Millisecond)
			require.NoError(t, a.err)
			require.Equal(t, http.StatusOK, a.status, a.body)
		})
	}
}
