package exchange_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/upstream/exchange"
)

// A process that is exiting still takes a connection, resets it and then refuses others. It
// must not count as running.
func TestExitingProcessCountsAsRunning(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := l.Accept()
		time.Sleep(20 * time.Millisecond)
		_ = l.Close()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	pool := exchange.NewPool()
	defer pool.Close()
	_, err = pool.Ask(t.Context(), l.Addr().String(), "/health")
	require.Error(t, err)
	require.NotErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = pool.Ask(t.Context(), l.Addr().String(), "/health")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}

func TestRunningProcessHasNotExited(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Instance-Id", r.URL.Path)
	}))
	defer s.Close()
	address := s.Listener.Addr().String()
	began := time.Now()
	pool := exchange.NewPool()
	defer pool.Close()
	reply, err := pool.Ask(t.Context(), address, "/health")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, reply.Status)
	require.Equal(t, "/health", reply.Header.Get("Instance-Id"))
	require.False(t, exchange.RefusesConnections(context.Background(), address))
	require.Less(t, time.Since(began), 2*time.Second)
}

// A kept connection may have the response to an earlier request on its way.
func TestCallForTheStateTakesAnEarlierResponse(t *testing.T) {
	var opened atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	pool := exchange.NewPool()
	defer pool.Close()
	for n := range int32(3) {
		_, err := pool.Ask(t.Context(), s.Listener.Addr().String(), "/health")
		require.NoError(t, err)
		require.Equal(t, n+1, opened.Load())
	}
}

// The kernel reports a reset to a socket once. If the write of the request gets the report, the
// body of a response that has no length seems to end properly.
func TestResetThatOnlyTheWriteHasSeenEndsTheAnswerProperly(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	begun, resets := make(chan struct{}), make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
		close(begun)
		<-resets
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}()
	pool := exchange.NewPool()
	defer pool.Close()
	// The body is larger than what the sockets take.
	a, err := pool.Do(t.Context(), l.Addr().String(), &exchange.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: make([]byte, 64<<20)})
	require.NoError(t, err)
	defer a.Close()
	require.False(t, a.Delimited)
	_, err = io.ReadFull(a, make([]byte, len("half")))
	require.NoError(t, err)
	<-begun
	close(resets)
	<-a.WriteEnded()
	rest, err := io.ReadAll(a)
	require.Empty(t, rest)
	t.Logf("the read after the reset: %v", err)
	require.True(t, err != nil || !a.RequestWritten())
}

// A request that was written completely counts as such, whatever was read of it.
func TestWrittenRequestCountsAsUnwritten(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer s.Close()
	pool := exchange.NewPool()
	defer pool.Close()
	for _, size := range []int{0, 100, 100 << 10} {
		a, err := pool.Do(t.Context(), s.Listener.Addr().String(), &exchange.Request{Method: http.MethodPost, Target: "/", Host: "a", Body: make([]byte, size), HasBody: true})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, a)
		require.NoError(t, err)
		require.True(t, a.RequestWritten(), "%d bytes", size)
		a.Close()
	}
}
