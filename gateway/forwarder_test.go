package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// forwarder is a TCP proxy in front of an upstream, like that of a balancer or a supervisor:
// it goes on listening when the upstream does not.
type forwarder struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	// silent keeps connections open that can't be forwarded; otherwise they are closed.
	silent bool
	// reply is what answers each request that can't be forwarded, if set.
	reply  string
	conns  []net.Conn
	closed bool
	tasks  sync.WaitGroup
}

func newForwarder(t *testing.T, target string) *forwarder {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &forwarder{listener: l, target: target}
	f.tasks.Go(f.accept)
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

// fallSilent keeps the connections open that can't be forwarded from now on.
func (f *forwarder) fallSilent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
}

// answerWith answers requests that can't be forwarded from now on, like a proxy of HTTP.
func (f *forwarder) answerWith(reply string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reply = reply
}

// forwardTo makes new connections go to another address.
func (f *forwarder) forwardTo(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
}

func (f *forwarder) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.tasks.Go(func() { f.serve(c) })
	}
}

func (f *forwarder) serve(client net.Conn) {
	if !f.track(client) {
		return
	}
	f.mu.Lock()
	target, silent, reply := f.target, f.silent, f.reply
	f.mu.Unlock()
	server, err := net.Dial("tcp", target)
	if err != nil {
		if reply != "" {
			_, _ = http.ReadRequest(bufio.NewReader(client))
			_, _ = io.WriteString(client, reply)
		}
		if silent {
			_, _ = io.Copy(io.Discard, client)
		}
		_ = client.Close()
		return
	}
	if !f.track(server) {
		return
	}
	var both sync.WaitGroup
	for _, way := range [][2]net.Conn{{server, client}, {client, server}} {
		both.Go(func() {
			// A reset of one side is a close to the other one.
			_, _ = io.Copy(way[0], way[1])
			_ = client.Close()
			_ = server.Close()
		})
	}
	both.Wait()
}

// track remembers a connection, or closes it if the forwarder is closed.
func (f *forwarder) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = c.Close()
		return false
	}
	f.conns = append(f.conns, c)
	return true
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	f.closed = true
	for _, c := range f.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	f.tasks.Wait()
}
