package exchange_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/upstream/exchange"
)

// Only a connection that was opened before tells which process replies.
func TestReplyOnALaterConnectionCountsAsKept(t *testing.T) {
	closed := make(chan net.Conn, 4)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			closed <- c
		}
	}
	s.Start()
	defer s.Close()
	address := s.Listener.Addr().String()
	pool := exchange.NewPool()
	defer pool.Close()
	ask := func(opened time.Time) error {
		_, err := pool.AskKept(t.Context(), address, "/health", opened)
		return err
	}
	require.ErrorIs(t, ask(time.Now()), exchange.ErrNoneKept)
	before := time.Now()
	_, err := pool.Ask(t.Context(), address, "/health")
	require.NoError(t, err)
	require.ErrorIs(t, ask(before), exchange.ErrNoneKept)
	require.NoError(t, ask(time.Now()))
	require.NoError(t, ask(time.Now()), "the connection is kept on")
	require.Len(t, closed, 1)

	c := (<-closed).(*net.TCPConn)
	require.NoError(t, c.SetLinger(0))
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return ask(time.Now()) != nil }, 20*time.Second, time.Millisecond)
	require.ErrorIs(t, ask(time.Now()), exchange.ErrNoneKept, "a closed connection is removed")
}
