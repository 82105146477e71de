// Package logsink provides a log writer that never blocks the process and a handler that
// limits the rate of log lines.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
)

// Sink writes lines to another writer in the background through a bounded buffer. Lines
// that arrive while the buffer is full are dropped and counted.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a sink that buffers up to size lines.
func New(out io.Writer, size int) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, size), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. Each call must pass one line. It always succeeds.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the buffered lines and stops the sink. Write must not be called after it.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var reported int64
	for line := range s.lines {
		// A failure to write the log can't be reported anywhere else.
		_, _ = s.out.Write(line)
		if n := s.dropped.Load(); n > reported && len(s.lines) == 0 {
			_, _ = fmt.Fprintf(s.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n-reported)
			reported = n
		}
	}
}
