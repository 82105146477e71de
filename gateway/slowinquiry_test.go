package gateway_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream takes its time for one call for its state, as a full one does whose health check
// waits for a slot, and answers the next one. The answers that end in the meantime are whole.
func TestSlowInquiryHoldsUpTheEndsAfterIt(t *testing.T) {
	d := newDeployment(t)
	d.timeout = time.Minute
	d.configure()
	var calls atomic.Int32
	first, second := make(chan struct{}), make(chan struct{})
	s := d.rawUpstream("i-1", counterService, func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, req.ContentLength))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+sealedHead(req)+"\r\nwhole answer")
	})
	s.beforeState = func() {
		switch calls.Add(1) {
		case 1:
			close(first)
			<-second
		case 2:
			close(second)
		}
	}
	t.Cleanup(func() {
		if calls.Load() < 2 {
			close(second)
		}
	})
	e := d.startEntry("entry-1")
	answers := make(chan answer, 2)
	send := func(id string) {
		call := plainCall("order", id)
		call.Deadline = waitLimit
		answers <- e.send(t, call)
	}
	go send("r-1")
	<-first
	go send("r-2")
	for range 2 {
		a := <-answers
		require.NoError(t, a.err)
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.Equal(t, "whole answer", a.body)
	}
}
