package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection is closed once it has been idle for the limit, but not while it has a
// request.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 15 * time.Second
		i := newCallerConns(func() time.Duration { return limit })
		pipe, client := net.Pipe()
		server := i.add(pipe)
		defer client.Close()
		closed := func() bool {
			require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Millisecond)))
			_, err := server.Read(make([]byte, 1))
			return !isTimeout(err)
		}
		i.track(server, http.StateNew)
		time.Sleep(2 * limit)
		i.track(server, http.StateIdle)
		time.Sleep(limit * 4 / 5)
		i.track(server, http.StateActive)
		time.Sleep(2 * limit)
		require.False(t, closed())
		i.track(server, http.StateIdle)
		time.Sleep(limit - time.Second)
		require.False(t, closed())
		time.Sleep(2 * time.Second)
		require.Error(t, server.SetReadDeadline(time.Now()))
		require.Empty(t, i.open)
		require.Nil(t, server.idle)
	})
}

// A request that has arrived at the end of the idle time, read or not, is under way: its
// connection stays open. One that comes after the close is not read, so it can't be forwarded.
func TestRequestAtTheEndOfTheIdleTimeIsDropped(t *testing.T) {
	const request = "GET / HTTP/1.1"
	k := newCallerConns(func() time.Duration { return time.Hour })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	open := func() (server *callerConn, client net.Conn) {
		client, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		c, err := l.Accept()
		require.NoError(t, err)
		server = k.add(c)
		k.track(server, http.StateIdle)
		t.Cleanup(func() {
			_ = server.Close()
			_ = client.Close()
		})
		return server, client
	}

	unread, client := open()
	_, err = client.Write([]byte(request))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unread.hasUnread() }, time.Minute, time.Millisecond)
	unread.closeIdle()
	require.Equal(t, 1, k.closeUnused())
	read := make([]byte, len(request))
	_, err = io.ReadFull(unread, read)
	require.NoError(t, err)
	require.False(t, unread.hasUnread())
	unread.closeIdle()
	require.Equal(t, 1, k.closeUnused(), "the request has been read")
	k.track(unread, http.StateIdle)
	require.Equal(t, 1, k.closeUnused(), "the server may have read a further request")
	next := make(chan error, 1)
	go func() {
		_, err := unread.Read(read)
		next <- err
	}()
	require.Eventually(t, func() bool { return k.closeUnused() == 0 }, time.Minute, time.Millisecond, "the request has been answered")
	require.ErrorIs(t, <-next, net.ErrClosed)

	taken, client := open()
	taken.Conn = &interruptedRead{Conn: taken.Conn, between: func() { require.False(t, taken.closeUnused()) }}
	_, err = client.Write([]byte(request))
	require.NoError(t, err)
	_, err = io.ReadFull(taken, read)
	require.NoError(t, err, "closed between the end of a read and the use of its bytes")

	crossed, client := open()
	require.True(t, crossed.closeUnused())
	_, err = client.Write([]byte(request))
	require.NoError(t, err)
	_, err = crossed.Read(read)
	require.ErrorIs(t, err, net.ErrClosed)
}

// interruptedRead is a connection that calls a function between the end of a read and the use of
// its bytes.
type interruptedRead struct {
	net.Conn
	between func()
}

func (c *interruptedRead) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.between()
	return n, err
}

// A caller sends a request before it has the answer to the one before it. Its connection is in
// use until the last one is answered.
func TestPipelinedRequestCountsAsUnusedConnection(t *testing.T) {
	k := newCallerConns(func() time.Duration { return time.Hour })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := newCallerListener(inner, k)
	running, answer := make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnState: k.track, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			close(running)
			<-answer
		}
	})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(client, "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	<-running
	left := k.closeUnused()
	close(answer)
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-served, http.ErrServerClosed)
	require.NoError(t, client.Close())
	require.Equal(t, 1, left, "closed while a request was under way")
}
