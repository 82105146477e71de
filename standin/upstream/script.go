package upstream

import (
	"io"
	"net"
)

// Script returns the bytes with which an upstream answers a run instead of its own answer,
// and then closes the connection. It gives its own answer if ok is false.
type Script func(Run) (raw string, ok bool)

// playScript answers a run by the script and reports whether it did.
func (s *Server) playScript(c net.Conn, run Run) bool {
	if s.Script == nil {
		return false
	}
	raw, ok := s.Script(run)
	if ok {
		// If the caller has closed the connection, there is nobody to tell.
		_, _ = io.WriteString(c, raw)
	}
	return ok
}
