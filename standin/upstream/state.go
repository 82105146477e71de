package upstream

import (
	"fmt"
	"net"
	"net/http"
)

// Paths at which an upstream says what it is. Neither counts as a request that it received.
const (
	// ReportPath is that of a model engine's report.
	ReportPath = "/v1/report"
	// HealthPath is that of the health check of every service.
	HealthPath = "/health"
)

// FirstStart is the start time of an upstream that has not crashed yet, in Unix milliseconds.
const FirstStart = 1

// StartMillis returns the start time that the upstream states, in Unix milliseconds.
func (s *Server) StartMillis() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// StateCalls returns how many reports and health checks the upstream was asked for.
func (s *Server) StateCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateCalls
}

// answerState answers a call for the upstream's report or health and reports whether the
// request was one, and whether the connection can be used again.
func (s *Server) answerState(c net.Conn, req *http.Request) (done, kept bool) {
	if req.Method != http.MethodGet || req.URL.Path != ReportPath && req.URL.Path != HealthPath {
		return false, false
	}
	if s.BeforeState != nil {
		s.BeforeState()
	}
	s.mu.Lock()
	s.stateCalls++
	body := ""
	if req.URL.Path == ReportPath {
		body = fmt.Sprintf(`{"stage":"prefill_decode","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"born":%d}`, s.started)
	}
	status := "200 OK"
	if s.fault == Leave && body == "" {
		status = "503 Service Unavailable"
	}
	s.mu.Unlock()
	header := "Content-Type: application/json\r\n"
	if body == "" {
		header = "Instance-Id: " + s.ID + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return true, err == nil
}
