package gateway

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
	"jaylink/serving"
)

// pipeListener accepts pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// A caller sends a request after a pause that is shorter than the configured idle time, or than the
// default if none is configured. Longer pauses end its connection.
func TestConnectionIsClosedBeforeTheEndOfItsIdleTime(t *testing.T) {
	for name, tc := range map[string]struct{ configured, kept, closed time.Duration }{
		"long":       {10 * time.Minute, 8 * time.Minute, 11 * time.Minute},
		"short":      {10 * time.Second, 8 * time.Second, 11 * time.Second},
		"not stated": {0, idleTimeout * 4 / 5, idleTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(platform.Settings{Bounds: platform.Bounds{UsageWindow: time.Second}}, slog.New(slog.DiscardHandler))
				g.config.Store(&acceptedConfiguration{Configuration: &serving.Configuration{Limits: serving.Limits{IdleTimeout: tc.configured}}})
				server := g.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), g.callers)
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				go func() { _ = server.Serve(newCallerListener(l, g.callers)) }()
				defer func() {
					require.NoError(t, server.Close())
					synctest.Wait()
				}()
				client, accepted := net.Pipe()
				l.conns <- accepted
				answers := bufio.NewReader(client)
				for range 2 {
					_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
					require.NoError(t, err)
					resp, err := http.ReadResponse(answers, nil)
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					time.Sleep(tc.kept)
				}
				time.Sleep(tc.closed - tc.kept)
				_, err := answers.ReadByte()
				require.ErrorIs(t, err, io.EOF)
			})
		})
	}
}

// A caller sends the first byte of a request on a kept connection, and nothing more. The connection
// does not stay open for ever.
func TestConnectionWithAPartOfAHeadStaysOpen(t *testing.T) {
	k := newCallerConns(func() time.Duration { return 300 * time.Millisecond })
	k.headTimeout = time.Millisecond
	g := &Gateway{log: slog.New(slog.DiscardHandler)}
	server := g.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), k)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(newCallerListener(inner, k)) }()
	client, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	answers := bufio.NewReader(client)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	_, err = io.WriteString(client, "G")
	require.NoError(t, err)
	require.NoError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err = answers.ReadByte()
	require.False(t, isTimeout(err), "still open")
	require.NoError(t, server.Close())
	require.ErrorIs(t, <-served, http.ErrServerClosed)
	require.NoError(t, client.Close())
}
