package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startPaced starts an upstream with a pace and connects to it.
func startPaced(t *testing.T, pace time.Duration) (*Server, net.Conn) {
	t.Helper()
	s := &Server{ID: "i-1", Pace: pace}
	require.NoError(t, s.Listen("127.0.0.1:0", FirstStart))
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return s, c
}

func send(t *testing.T, c net.Conn, header string) {
	t.Helper()
	_, err := fmt.Fprintf(c, "GET /status/r HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nTarget-Instance: i-1\r\n%s\r\n", header)
	require.NoError(t, err)
}

// An upstream whose caller has left goes on working.
func TestSlowUpstreamWorksOnAfterItsCallerHasLeft(t *testing.T) {
	for name, header := range map[string]string{"plain": "", "stream": "Token-Count: 1,1\r\nPrefix-Hash: a:1\r\n"} {
		t.Run(name, func(t *testing.T) {
			s, c := startPaced(t, time.Hour)
			send(t, c, header)
			require.Eventually(t, func() bool { return len(s.Runs()) == 1 }, time.Minute, time.Millisecond)
			require.NoError(t, c.Close())
			require.Eventually(t, func() bool { return len(s.Works()) == 1 }, time.Minute, time.Millisecond)
		})
	}
}

// A connection can be used again after a long pause.
func TestSlowUpstreamKeepsItsConnection(t *testing.T) {
	_, c := startPaced(t, longPace)
	answers := bufio.NewReader(c)
	for range 2 {
		send(t, c, "")
		resp, err := http.ReadResponse(answers, nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		_, err = answers.Discard(int(resp.ContentLength))
		require.NoError(t, err)
	}
}
