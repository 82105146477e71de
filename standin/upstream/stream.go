package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Event returns the bytes of one event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// UnnumberedEvent returns the bytes of one event without an ID.
func UnnumberedEvent(n int) string { return fmt.Sprintf("data: piece %d\n\n", n) }

// EventID returns the ID of an event of a stream: its number, or one of increasing numbers
// with gaps.
func EventID(n int, gapped bool) int {
	if gapped {
		return n * (n + 3) / 2
	}
	return n
}

// NamedEvent returns the bytes of one event of the run with a name.
func NamedEvent(n int, run string, gapped bool) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", EventID(n, gapped), n, run)
}

// event returns the bytes of one event of a run of this upstream.
func (s *Server) event(n int, run Run) string {
	if s.NamesRuns {
		return NamedEvent(n, run.Name, s.GappedIDs)
	}
	return Event(n)
}

// eventWithID returns the number of the last event whose ID is not above one.
func (s *Server) eventWithID(id int) int {
	if !s.GappedIDs {
		return id
	}
	n := -1
	for EventID(n+1, true) <= id {
		n++
	}
	return n
}

func (s *Server) serveStream(c net.Conn, run Run, fault Fault, deadlyPart string) bool {
	id, resumed := run.RequestID, run.Resumed
	headers := s.answerHeaders(fault) + s.limitHeader(id)
	write, framing := writeChunk, "Transfer-Encoding: chunked\r\n"
	if s.Undelimited {
		write, framing = writeText, ""
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Type: text/event-stream\r\n%s\r\n", id, headers, framing)
	if writeText(c, head) != nil {
		return false
	}
	if fault == CloseAfterHead {
		return false
	}
	for n := resumed + 1; n < Events; n++ {
		if deadlyPart != "" {
			if !s.closedWithin(c, s.Pace) {
				s.crashBy(deadlyPart)
			}
			return false
		}
		if fault == SkipEvent && n == resumed+1 {
			continue
		}
		if fault == Stall && n == resumed+2 && !s.stall(c) {
			return false
		}
		if !s.pause(c) {
			return false
		}
		data := s.event(n, run)
		if fault == HoldUnnumbered {
			data = UnnumberedEvent(n)
		}
		if fault == CutInEvent && n == 2 {
			_ = write(c, data[:len(data)/2])
			return false
		}
		if fault == CrashInStream && n == 2 {
			s.Crash()
			return false
		}
		if write(c, data) != nil {
			return false
		}
		if (fault == Hold || fault == HoldUnnumbered) && n == resumed+1 && !s.waitForRelease(c) {
			return false
		}
	}
	if fault == CrashAfterStream {
		s.Crash()
		return false
	}
	return !s.Undelimited && writeText(c, "0\r\n\r\n") == nil
}

// waitForRelease blocks until Release is called. It returns false if the caller
// closes the connection first.
func (s *Server) waitForRelease(c net.Conn) bool {
	gone := make(chan struct{})
	go func() {
		s.awaitClose(c)
		close(gone)
	}()
	select {
	case <-s.release:
		// Unblocks the read in awaitClose; the connection is not read again.
		_ = c.SetReadDeadline(time.Now())
		<-gone
		return true
	case <-gone:
		return false
	}
}

// awaitClose blocks until the caller closes the connection.
func (s *Server) awaitClose(c net.Conn) {
	var buf [1]byte
	if _, err := c.Read(buf[:]); err != nil && !isTimeout(err) {
		s.countClosed()
	}
}

// closedWithin waits for a time and reports whether the caller closed the connection in it.
func (s *Server) closedWithin(c net.Conn, wait time.Duration) bool {
	// An error means that the connection is closed, which the read shows.
	_ = c.SetReadDeadline(time.Now().Add(wait))
	var buf [1]byte
	_, err := c.Read(buf[:])
	if err == nil || isTimeout(err) {
		return false
	}
	if !errors.Is(err, net.ErrClosed) {
		s.countClosed()
	}
	return true
}

// longPace is from which pace on an upstream looks whether the caller has left.
const longPace = 100 * time.Millisecond

// pause waits for the time before an event or a plain answer. It returns false if the caller closes
// the connection in a long one.
func (s *Server) pause(c net.Conn) bool {
	if s.Pace < longPace {
		time.Sleep(s.Pace)
		return true
	}
	closed := s.closedWithin(c, s.Pace)
	// An error means that the connection is closed, which the write shows.
	_ = c.SetReadDeadline(time.Time{})
	return !closed
}

// countClosed counts a connection that the caller closed before the answer was complete.
func (s *Server) countClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedByCaller++
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// encodeChunk encodes data as one chunk of a chunked body.
func encodeChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

func writeChunk(c net.Conn, data string) error { return writeText(c, encodeChunk(data)) }

func writeText(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}
