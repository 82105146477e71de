// Package upstream is a small stand-in for the upstreams behind a gateway: model
// engines that stream events, and plain services. Fault switches make it answer
// as broken upstreams do.
package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is one way to misbehave. The zero value is a sound upstream.
type Fault int

// The faults.
const (
	// Sound answers every request in full.
	Sound Fault = iota
	// Decline says that the request was not run.
	Decline
	// Fail answers 500 after running the request.
	Fail
	// CutInEvent closes the connection in the middle of the third event.
	CutInEvent
	// CutAnswer closes the connection after half of a plain answer.
	CutAnswer
	// CloseUnanswered runs the request and closes without an answer.
	CloseUnanswered
	// Extra sends a second answer after the first one.
	Extra
	// Unproven leaves out the proof.
	Unproven
	// Silent reads the request and says nothing.
	Silent
	// Hold sends the first event and waits until Release.
	Hold
	// EndlessHead sends header lines until its caller closes, EndlessInterim
	// interim answers.
	EndlessHead
	EndlessInterim
	// EndlessEvent sends lines of one event until its caller closes, EndlessBody
	// bytes of a plain answer.
	EndlessEvent
	EndlessBody
	// Trickle sends the first event and then comments until its caller closes.
	Trickle
	// Rest turns every request away and asks to be left alone for RestTime.
	Rest
	// Leave answers in full and says with each answer that the upstream is leaving.
	Leave
)

// Events is the number of events of a whole stream.
const Events = 6

// Run is a request that the upstream began to run.
type Run struct {
	RequestID string
	Target    string
	Header    http.Header
	Body      string
	// Resumed is the event after which the run went on; -1 for a fresh one.
	Resumed int
}

// Arrival is a request that reached the upstream, also one that it turned away.
type Arrival struct {
	RequestID string
	Body      string
	At        time.Time
	// Under is how the upstream misbehaved then.
	Under Fault
}

// Server is one upstream.
type Server struct {
	// ID is the instance's name; requests for another one are turned away.
	ID string
	// Pace is the time between two events, and that of a plain answer. It is set
	// before the first request.
	Pace time.Duration
	// Deadly is a part of bodies that end the upstream when it runs them, if it is
	// not empty; Down is how long it is away then. Crashed and Restarted are called
	// before and after that, if set. All are set before the first request.
	Deadly             string
	Down               time.Duration
	Crashed, Restarted func()
	// RestTime is what Rest asks for. It is set before the first request.
	RestTime time.Duration

	address string
	release chan struct{}
	closed  chan struct{}

	mu       sync.Mutex
	listener net.Listener
	fault    Fault
	runs     []Run
	arrivals []Arrival
	crashes  int
	// left counts connections that their caller closed before the end.
	left  int
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// Start listens on a free port of an address.
func Start(id, ip string) (*Server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: id, listener: l, address: l.Addr().String(), release: make(chan struct{}), closed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	s.done.Add(1)
	go s.accept(l)
	return s, nil
}

// Address returns IP:PORT.
func (s *Server) Address() string { return s.address }

// Close stops the upstream and cuts off what it runs.
func (s *Server) Close() {
	close(s.closed)
	s.cut()
	s.done.Wait()
}

// cut closes the listener and every connection.
func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Crash ends the upstream at once; it listens again after Down.
func (s *Server) Crash() {
	s.mu.Lock()
	s.crashes++
	s.mu.Unlock()
	if s.Crashed != nil {
		s.Crashed()
	}
	s.cut()
	s.done.Add(1)
	go s.restart()
}

// relistenPause is the pause between two tries to listen again.
const relistenPause = 10 * time.Millisecond

func (s *Server) restart() {
	defer s.done.Done()
	for wait := s.Down; ; wait = relistenPause {
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
		s.mu.Unlock()
		select {
		case <-s.closed:
			_ = l.Close()
			return
		default:
		}
		s.done.Add(1)
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

// Release lets held streams go on.
func (s *Server) Release() { close(s.release) }

// SetFault changes how the upstream misbehaves.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Runs returns the requests that began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrivals returns the requests that came, in order.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Left returns how many callers left before the end of their answer.
func (s *Server) Left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

func (s *Server) accept(l net.Listener) {
	defer s.done.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		s.done.Add(1)
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer s.done.Done()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !s.answer(c, req, string(body)) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection goes on.
func (s *Server) answer(c net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("Request-Id")
	s.mu.Lock()
	fault := s.fault
	s.arrivals = append(s.arrivals, Arrival{id, body, time.Now(), fault})
	s.mu.Unlock()
	switch {
	case req.Header.Get("Target-Instance") != s.ID:
		return reply(c, "421 Misdirected Request", id, "Instance-Id: "+s.ID+"\r\n", "")
	case fault == Decline:
		return reply(c, "503 Service Unavailable", id, "Not-Executed: 1\r\n", "")
	case fault == Rest:
		return reply(c, "503 Service Unavailable", id, fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %.3f\r\n", s.RestTime.Seconds()), "")
	}
	resumed := -1
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		resumed = n
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{id, req.RequestURI, req.Header, body, resumed})
	s.mu.Unlock()
	if s.Deadly != "" && strings.Contains(body, s.Deadly) {
		s.Crash()
		return false
	}
	switch fault {
	case Fail:
		return reply(c, "500 Internal Server Error", id, s.proof(), "failed")
	case CloseUnanswered:
		return false
	case Silent:
		s.awaitClose(c)
		return false
	case EndlessHead:
		s.pour(c, "HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", 1000)+"\r\n", 0)
		return false
	case EndlessInterim:
		s.pour(c, "", "HTTP/1.1 103 Early Hints\r\nX-More: "+strings.Repeat("x", 1000)+"\r\n\r\n", 0)
		return false
	case EndlessEvent, EndlessBody, Trickle:
		s.pourBody(c, id, fault)
		return false
	}
	if req.Header.Get("Token-Count") != "" {
		return s.stream(c, id, fault, resumed)
	}
	return s.plain(c, req, id, fault)
}

// pour sends more again and again until the caller closes.
func (s *Server) pour(c net.Conn, head, more string, pause time.Duration) {
	for text := head + more; ; text = more {
		if _, err := io.WriteString(c, text); err != nil {
			s.mu.Lock()
			s.left++
			s.mu.Unlock()
			return
		}
		time.Sleep(pause)
	}
}

// tricklePause is the time between two comments of Trickle.
const tricklePause = 50 * time.Millisecond

// pourBody begins an answer and never ends it.
func (s *Server) pourBody(c net.Conn, id string, fault Fault) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + s.proof() + "Transfer-Encoding: chunked\r\n"
	switch fault {
	case EndlessEvent:
		s.pour(c, head+"Content-Type: text/event-stream\r\n\r\n", chunked("data: "+strings.Repeat("x", 1000)+"\n"), 0)
	case EndlessBody:
		s.pour(c, head+"\r\n", chunked(strings.Repeat("x", 16<<10)), 0)
	default:
		s.pour(c, head+"Content-Type: text/event-stream\r\n\r\n"+chunked(Event(0)), chunked(": still here\n\n"), tricklePause)
	}
}

// head returns the headers that an answer bears under a fault.
func (s *Server) head(fault Fault) string {
	switch fault {
	case Unproven:
		return ""
	case Leave:
		return s.proof() + "Server-Leaving: 1\r\n"
	}
	return s.proof()
}

func (s *Server) proof() string { return "Response-Seal: seal-" + s.ID + "\r\n" }

func reply(c net.Conn, status, id, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
	return err == nil
}

func (s *Server) plain(c net.Conn, req *http.Request, id string, fault Fault) bool {
	proof := s.head(fault)
	time.Sleep(s.Pace)
	body := "answer to " + req.RequestURI
	if fault == CutAnswer {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, proof, 2*len(body), body)
		return false
	}
	ok := reply(c, "200 OK", id, proof, body)
	if fault == Extra {
		ok = reply(c, "200 OK", id, proof, body)
	}
	return ok
}

// Event returns the bytes of one event of a stream.
func Event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

func (s *Server) stream(c net.Conn, id string, fault Fault, resumed int) bool {
	proof := s.head(fault)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, proof)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := resumed + 1; n < Events; n++ {
		time.Sleep(s.Pace)
		data := Event(n)
		if fault == CutInEvent && n == 2 {
			_ = chunk(c, data[:len(data)/2])
			return false
		}
		if err := chunk(c, data); err != nil {
			return false
		}
		if fault == Hold && n == resumed+1 && !s.hold(c) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// hold waits for Release. It reports false if the caller left first.
func (s *Server) hold(c net.Conn) bool {
	gone := make(chan struct{})
	go func() {
		s.awaitClose(c)
		close(gone)
	}()
	select {
	case <-s.release:
		// Ends the read of awaitClose; the connection is not used again.
		_ = c.SetReadDeadline(time.Now())
		<-gone
		return true
	case <-gone:
		return false
	}
}

// awaitClose returns when the caller closes its connection.
func (s *Server) awaitClose(c net.Conn) {
	var one [1]byte
	if _, err := c.Read(one[:]); err != nil && !isTimeout(err) {
		s.mu.Lock()
		s.left++
		s.mu.Unlock()
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// chunked returns data as one chunk of a body.
func chunked(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

func chunk(c net.Conn, data string) error {
	_, err := io.WriteString(c, chunked(data))
	return err
}
