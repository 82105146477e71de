package upstream

import (
	"net"
	"time"
)

// stallTime is how long a stalling upstream works on without an event. It is longer than entries
// wait if another upstream can go on.
const stallTime = 2500 * time.Millisecond

// Work is the time for which the upstream worked on a run: until it was done, or noticed that the
// caller had left.
type Work struct {
	Run, RequestID string
	From, To       time.Time
}

// endWork records that the work on a run has ended.
func (s *Server) endWork(run Run, from time.Time) {
	work := Work{run.Name, run.RequestID, from, time.Now()}
	s.mu.Lock()
	s.works = append(s.works, work)
	s.mu.Unlock()
	s.record(Record{Work: &work})
}

// Works returns the work that has ended, in that order.
func (s *Server) Works() []Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Work(nil), s.works...)
}

// stall works on without an event, and reports whether the caller stayed.
func (s *Server) stall(c net.Conn) bool {
	if s.closedWithin(c, stallTime) {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}
