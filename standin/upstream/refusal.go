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
	fault := s.currentFault()
	id := req.Header.Get("Request-Id")
	name := ""
	switch fault {
	case RepeatRefusal:
		name = "Request-Id: " + id + "\r\n"
	case RepeatUnnamedRefusal:
	default:
		return false
	}
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", name, s.limitHeader(id))
	s.mu.Lock()
	s.conns[c] = refusal
	s.mu.Unlock()
	_, err := io.WriteString(c, refusal)
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

// unnamedRefusal is a refusal that belongs to no request.
const unnamedRefusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// refuseNobody writes a refusal that belongs to no request under ExtraRefusal, and has it
// written before the next answer under LateRefusal.
func (s *Server) refuseNobody(c net.Conn) bool {
	switch s.currentFault() {
	case ExtraRefusal:
		_, err := io.WriteString(c, unnamedRefusal)
		return err == nil
	case LateRefusal:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns[c] = unnamedRefusal
	}
	return true
}
