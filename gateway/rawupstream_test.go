package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// rawUpstream is an upstream that answers with any bytes and in any way.
type rawUpstream struct {
	id       string
	listener net.Listener
	// serve writes the answer to a request, whose body is not read yet, and returns. The
	// connection is closed afterwards.
	serve func(c net.Conn, req *http.Request)
	// keeps, if set, answers a request after which the connection is kept. serve gets those for
	// which it reports false.
	keeps func(c net.Conn, req *http.Request) bool
	// mute closes calls for the state without an answer.
	mute bool
	// beforeState, if set, is called before each call for the state is answered.
	beforeState func()
	// full is how many calls for the state are still turned away, as a full upstream does it.
	full atomic.Int64
	// requests counts the requests, without calls for the state.
	requests atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	tasks sync.WaitGroup
}

func (d *deployment) rawUpstream(id, service string, serve func(net.Conn, *http.Request)) *rawUpstream {
	d.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	s := &rawUpstream{id: id, listener: l, serve: serve, conns: map[net.Conn]bool{}}
	s.tasks.Go(s.accept)
	d.t.Cleanup(s.close)
	d.store.PutUpstream(id, service, l.Addr().String(), "zone-a", "ready")
	return s
}

func (s *rawUpstream) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.tasks.Go(func() {
			s.answer(c)
			_ = c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

func (s *rawUpstream) answer(c net.Conn) {
	r := bufio.NewReader(c)
	for s.answerNext(c, r) {
	}
}

// answerNext answers the next request on a connection and reports whether that is kept.
func (s *rawUpstream) answerNext(c net.Conn, r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	switch {
	case err != nil:
	case s.keeps != nil && s.keeps(c, req):
		return true
	case req.URL.Path != upstream.ReportPath && req.URL.Path != upstream.HealthPath:
		s.requests.Add(1)
		s.serve(c, req)
	case !s.mute:
		if s.beforeState != nil {
			s.beforeState()
		}
		if s.full.Add(-1) >= 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		body := fmt.Sprintf(`{"born":%d}`, upstream.FirstStart)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body)
	}
	return false
}

func (s *rawUpstream) close() {
	_ = s.listener.Close()
	s.closeConnections()
	s.tasks.Wait()
}

// closeConnections closes all connections, as the end of a process does.
func (s *rawUpstream) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// sealedHead returns the beginning of the head of an answer to a request.
func sealedHead(req *http.Request) string {
	return "Request-Id: " + req.Header.Get("Request-Id") + "\r\nResponse-Seal: seal\r\n"
}

// resetAfter writes an answer and resets the connection.
func resetAfter(c net.Conn, text string) {
	_, _ = io.WriteString(c, text)
	_ = c.(*net.TCPConn).SetLinger(0)
}
