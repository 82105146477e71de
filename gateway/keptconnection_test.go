package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// keepsStatus makes an upstream answer status requests with a length and keep their connections. It
// answers the first two once both have come.
func keepsStatus(s *rawUpstream) {
	var first sync.WaitGroup
	first.Add(2)
	var count atomic.Int32
	s.keeps = func(c net.Conn, req *http.Request) bool {
		if req.URL.Path != "/status/1" {
			return false
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if count.Add(1) <= 2 {
			first.Done()
			first.Wait()
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+"Content-Length: 5\r\n\r\nwhole")
		return true
	}
}

// sendStatusTwice sends two status requests at the same time, which leave two connections.
func sendStatusTwice(t *testing.T, e *entry) {
	t.Helper()
	statuses := make(chan int, 2)
	for _, id := range []string{"r-1", "r-2"} {
		go func() { statuses <- e.send(t, plainCall("status", id)).status }()
	}
	for range 2 {
		require.Equal(t, http.StatusOK, <-statuses)
	}
}

// A plain service is full and turns its health check away. That it does so on a connection that
// is older than the request shows that its answer without a length is whole.
func TestFullServiceCannotConfirmItsAnswer(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	s := d.rawUpstream("i-1", counterService, func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+"\r\nwhole answer")
	})
	keepsStatus(s)
	s.full.Store(1 << 20)
	e := d.startEntry("entry-1")
	sendStatusTwice(t, e)
	a := e.send(t, plainCall("order", "r-3"))
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status, a.body)
	require.Equal(t, "whole answer", a.body)
}

// The process of a plain service ends in the middle of an answer without a length, and another one
// with its ID takes its place before it is asked. An ID does not tell them apart.
func TestReplacedServiceConfirmsTheAnswerOfTheProcessBefore(t *testing.T) {
	d := newDeployment(t)
	d.confirmsSoon = true
	d.configure()
	next, err := upstream.Start("i-1", "127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(next.Close)
	var f *forwarder
	s := d.rawUpstream("i-1", counterService, nil)
	s.serve = func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+"\r\nwhole an")
		f.forwardTo(next.Address())
		s.closeConnections()
	}
	keepsStatus(s)
	f = newForwarder(t, s.listener.Addr().String())
	d.store.PutUpstream("i-1", counterService, f.address(), "zone-a", "ready")
	e := d.newEntry("entry-1")
	e.SetRecentUse(waitLimit)
	d.start(e)
	sendStatusTwice(t, e)
	a := e.send(t, plainCall("order", "r-3"))
	require.Empty(t, next.Runs())
	requireBrokenOff(t, a)
}

// A kept connection that hangs does not keep the upstream from being asked on another one.
func TestHangingKeptConnectionHoldsUpTheEnd(t *testing.T) {
	d := newDeployment(t)
	d.timeout = time.Minute
	d.configure()
	s := d.rawUpstream("i-1", counterService, func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+"\r\nwhole answer")
	})
	var hung atomic.Bool
	keepsStatus(s)
	others := s.keeps
	s.keeps = func(c net.Conn, req *http.Request) bool {
		if req.URL.Path == upstream.HealthPath && hung.CompareAndSwap(false, true) {
			// It returns when the entry closes the connection.
			_, _ = io.Copy(io.Discard, c)
			return true
		}
		return others(c, req)
	}
	e := d.startEntry("entry-1")
	sendStatusTwice(t, e)
	call := plainCall("order", "r-3")
	call.Deadline = waitLimit
	a := e.send(t, call)
	require.NoError(t, a.err)
	require.Equal(t, http.StatusOK, a.status, a.body)
}
