package upstream

import (
	"net"
	"slices"
	"strings"
	"time"
)

// SharedParts returns the identifiers of the parts of a prompt that other requests may
// share: all but the last. The prefix is the value of the header Prefix-Hash.
func SharedParts(prefix string) []string {
	var ids []string
	for _, part := range strings.Split(prefix, ",") {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids[:len(ids)-1]
}

// deadlyPart returns the first deadly part of a prompt, or "".
func (s *Server) deadlyPart(prefix string) string {
	for _, id := range SharedParts(prefix) {
		if slices.Contains(s.DeadlyParts, id) {
			return id
		}
	}
	return ""
}

// PartCrash is a crash that a deadly part of a prompt caused.
type PartCrash struct {
	Part string
	At   time.Time
}

func (s *Server) crashBy(part string) {
	s.mu.Lock()
	s.crashedBy = append(s.crashedBy, PartCrash{part, time.Now()})
	s.mu.Unlock()
	s.Crash()
}

// PartCrashes returns the crashes that deadly parts caused, in order.
func (s *Server) PartCrashes() []PartCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]PartCrash(nil), s.crashedBy...)
}

// Crash closes the listener and all connections at once; the upstream listens again
// after Down.
func (s *Server) Crash() {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	if s.Crashed != nil {
		s.Crashed()
	}
	s.closeConnections()
	s.tasks.Add(1)
	go s.restart()
}

// relistenDelay is the delay between two attempts to listen again.
const relistenDelay = 10 * time.Millisecond

func (s *Server) restart() {
	defer s.tasks.Done()
	for wait := s.Down; ; wait = relistenDelay {
		select {
		case <-s.closed:
			return
		case <-time.After(wait):
		}
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.listener = l
		if s.RenewsStart {
			s.started++
		}
		s.mu.Unlock()
		select {
		case <-s.closed:
			_ = l.Close()
			return
		default:
		}
		s.tasks.Add(1)
		go s.accept(l)
		if s.Restarted != nil {
			s.Restarted()
		}
		return
	}
}

// Crashes returns how often the upstream crashed.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}
