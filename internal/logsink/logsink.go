// Package logsink is a writer for logs that never blocks the process: lines go
// through a bounded buffer, and those that find it full are counted.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Sink writes lines to another writer in the background.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that holds up to size lines.
func New(out io.Writer, size int) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, size), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It takes one line a call and always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what is held and stops. Write must not be called after it.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var told int64
	for line := range s.lines {
		// There is no other place to report that logs can't be written.
		_, _ = s.out.Write(line)
		if n := s.dropped.Load(); n > told && len(s.lines) == 0 {
			_, _ = fmt.Fprintf(s.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n-told)
			told = n
		}
	}
}
