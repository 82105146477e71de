package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// declineAndRemember declines a request under RepeatRefusal or RepeatUnnamedRefusal, and
// reports whether it did.
func (s *Server) declineAndRemember(c net.Conn, req *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := ""
	switch s.fault {
	case RepeatRefusal:
		name = "Request-Id: " + req.Header.Get("Request-Id") + "\r\n"
	case RepeatUnnamedRefusal:
	default:
		return false
	}
	s.conns[c] = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", name)
	_, err := io.WriteString(c, s.conns[c])
	return err == nil
}

// repeatRefusal writes an earlier refusal on the connection once more, if there was one.
func (s *Server) repeatRefusal(c net.Conn) bool {
	s.mu.Lock()
	refusal := s.conns[c]
	s.mu.Unlock()
	_, err := io.WriteString(c, refusal)
	return err == nil
}
