// Package upstream is a stand-in for the upstreams behind a gateway: model engines
// that stream events, and plain HTTP services. Faults can be injected, so that it
// answers as a broken upstream does.
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

// Events is the number of events in a complete stream.
const Events = 6

// Run is a request that the upstream started to run.
type Run struct {
	RequestID string
	Target    string
	Header    http.Header `json:"-"`
	Body      string
	// Resumed is the number of the event after which the stream was resumed; -1 if
	// the run started at the first event.
	Resumed int
	// Name tells the run from all others of all upstreams.
	Name string
}

// Arrival is a request that the upstream received, including one that it refused.
type Arrival struct {
	RequestID string
	Body      string
	// Prefix is the request's header Prefix-Hash.
	Prefix string
	At     time.Time
	// Under is the fault that was injected at that time.
	Under Fault
}

// Server is one upstream.
type Server struct {
	// ID is the instance's name; requests for another instance get status 421.
	ID string
	// Pace is the delay before each event and before a plain answer. It must be set
	// before the first request.
	Pace time.Duration
	// Deadly is a text in a request's body at which the upstream crashes when it
	// runs the request; "" disables it. DeadlyParts are parts of prompts at which it
	// crashes when it begins to write the answer, unless they come last. Down is how
	// long the upstream stays down after a crash. Crashed and Restarted, if set, are
	// called before and after that time. All must be set before the first request.
	Deadly             string
	DeadlyParts        []string
	Down               time.Duration
	Crashed, Restarted func()
	// Undelimited sends answers with neither a length nor chunks, which end with their
	// connection. It must be set before the first request.
	Undelimited bool
	// RenewsStart makes the start time that the upstream states rise with each restart, as
	// that of a real process does. Its record has to be written again then. It must be set
	// before the first request.
	RenewsStart bool
	// NamesRuns puts the name of the run into each event, so that events of two runs can be
	// told apart. GappedIDs leaves gaps between the IDs of events. Both must be set before the
	// first request.
	NamesRuns, GappedIDs bool
	// Records, if set, gets a line for each Record, written at once. Exit ends the process: it is
	// called at a crash, with nil, and if a record can't be written. FirstRun is the number of
	// the first run. All are for an upstream that is a process of its own and must be set before
	// the first request.
	Records  io.Writer
	Exit     func(err error)
	FirstRun int
	// Script, if set, answers runs in place of the upstream. It must be set before the first
	// request.
	Script Script
	// BeforeState, if set, is called before each call for the state is answered. It must be set
	// before the first request.
	BeforeState func()
	// RestTime is the Retry-After that Rest sends. It must be set before the first
	// request.
	RestTime time.Duration

	address string
	release chan struct{}
	closed  chan struct{}

	mu       sync.Mutex
	listener net.Listener
	fault    Fault
	runs     []Run
	works    []Work
	arrivals []Arrival
	// limits lists the changes of the limit in order, and named the answers that
	// stated one.
	limits  []limitChange
	named   []naming
	crashes int
	// restarting is set from a crash until the upstream listens again.
	restarting bool
	// crashedBy lists the crashes that deadly parts caused.
	crashedBy []PartCrash
	// closedByCaller counts connections that the caller closed before the answer
	// was complete.
	closedByCaller int
	// conns holds the open connections, each with the refusal that is repeated on it.
	conns    map[net.Conn]string
	accepted int
	// started is the start time of the process, and stateCalls the number of calls for its
	// state.
	started    int64
	stateCalls int
	tasks      sync.WaitGroup
}

// Start starts an upstream on a free port of an IP address.
func Start(id, ip string) (*Server, error) {
	s := &Server{ID: id}
	return s, s.Listen(net.JoinHostPort(ip, "0"), FirstStart)
}

// Listen starts an upstream whose properties are set, on an address. startMillis is the start
// time that it states, in Unix milliseconds.
func (s *Server) Listen(address string, startMillis int64) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener, s.address, s.started = l, l.Addr().String(), startMillis
	s.release, s.closed, s.conns = make(chan struct{}), make(chan struct{}), map[net.Conn]string{}
	s.tasks.Add(1)
	go s.accept(l)
	return nil
}

// Address returns the listening address as IP:PORT.
func (s *Server) Address() string { return s.address }

// Close stops the upstream and aborts its requests.
func (s *Server) Close() {
	close(s.closed)
	s.closeConnections()
	s.tasks.Wait()
}

// closeConnections closes the listener and every connection.
func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Release lets the streams that Hold blocked continue.
func (s *Server) Release() { close(s.release) }

// SetFault replaces the injected fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Server) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Runs returns the requests that started to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrivals returns the received requests in order.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Left returns how many connections the caller closed before the answer was
// complete.
func (s *Server) Left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closedByCaller
}

func (s *Server) accept(l net.Listener) {
	defer s.tasks.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = ""
		s.accepted++
		declinesFirst := s.accepted%2 == 1
		s.mu.Unlock()
		s.tasks.Add(1)
		go s.serve(c, declinesFirst)
	}
}

// serve answers the requests on a connection. declinesFirst is for RepeatRefusal.
func (s *Server) serve(c net.Conn, declinesFirst bool) {
	defer s.tasks.Done()
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
		if err != nil {
			return
		}
		if done, kept := s.answerState(c, req); done {
			if !kept {
				return
			}
			continue
		}
		if declinesFirst && s.declineAndRemember(c, req) {
			declinesFirst = false
			continue
		}
		if !s.repeatRefusal(c) || !s.answer(c, req, string(body)) || !s.refuseNobody(c) {
			return
		}
	}
}

// answer answers one request. It returns false if the connection must be closed.
func (s *Server) answer(c net.Conn, req *http.Request, body string) bool {
	id := req.Header.Get("Request-Id")
	s.mu.Lock()
	fault := s.fault
	arrival := Arrival{id, body, req.Header.Get("Prefix-Hash"), time.Now(), fault}
	s.arrivals = append(s.arrivals, arrival)
	s.mu.Unlock()
	s.record(Record{Arrival: &arrival})
	switch {
	case req.Header.Get("Target-Instance") != s.ID:
		return writeResponse(c, "421 Misdirected Request", id, "Instance-Id: "+s.ID+"\r\n", "")
	case fault == Decline:
		return writeResponse(c, "503 Service Unavailable", id, "Not-Executed: 1\r\n"+s.limitHeader(id), "")
	case fault == Rest:
		return writeResponse(c, "503 Service Unavailable", id, fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %.3f\r\n%s", s.RestTime.Seconds(), s.limitHeader(id)), "")
	}
	resumed := -1
	if n, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		resumed = s.eventWithID(n)
	}
	run := Run{id, req.RequestURI, req.Header, body, resumed, ""}
	s.mu.Lock()
	run.Name = fmt.Sprintf("%s/%d", s.ID, s.FirstRun+len(s.runs))
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.record(Record{Run: &run})
	defer s.endWork(run, time.Now())
	if s.playScript(c, run) {
		return false
	}
	if s.Deadly != "" && strings.Contains(body, s.Deadly) {
		s.Crash()
		return false
	}
	switch fault {
	case Fail:
		return writeResponse(c, "500 Internal Server Error", id, s.sealHeader()+s.limitHeader(id), "failed")
	case FailAsBusy:
		return writeResponse(c, "503 Service Unavailable", id, s.sealHeader()+s.limitHeader(id), "failed")
	case FailAsLimited:
		return writeResponse(c, "429 Too Many Requests", id, s.sealHeader()+s.limitHeader(id), "failed")
	case CloseUnanswered:
		return false
	case Silent:
		s.awaitClose(c)
		return false
	case HoldHead:
		if !s.waitForRelease(c) {
			return false
		}
	case EndlessHead:
		s.writeUntilClosed(c, "HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("x", 1000)+"\r\n", 0)
		return false
	case EndlessInterim:
		s.writeUntilClosed(c, "", "HTTP/1.1 103 Early Hints\r\nX-More: "+strings.Repeat("x", 1000)+"\r\n\r\n", 0)
		return false
	case EndlessEvent, EndlessBody, Trickle:
		s.writeEndlessBody(c, id, fault)
		return false
	}
	if req.Header.Get("Token-Count") != "" {
		return s.serveStream(c, run, fault, s.deadlyPart(req.Header.Get("Prefix-Hash")))
	}
	return s.servePlain(c, req, id, fault)
}

// writeUntilClosed sends head once and then more repeatedly until the caller closes
// the connection.
func (s *Server) writeUntilClosed(c net.Conn, head, more string, pause time.Duration) {
	for text := head + more; ; text = more {
		if _, err := io.WriteString(c, text); err != nil {
			s.countClosed()
			return
		}
		time.Sleep(pause)
	}
}

// trickleInterval is the time between two comments under Trickle.
const trickleInterval = 50 * time.Millisecond

// writeEndlessBody starts an answer and never completes it.
func (s *Server) writeEndlessBody(c net.Conn, id string, fault Fault) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + s.sealHeader() + "Transfer-Encoding: chunked\r\n"
	switch fault {
	case EndlessEvent:
		s.writeUntilClosed(c, head+"Content-Type: text/event-stream\r\n\r\n", encodeChunk("data: "+strings.Repeat("x", 1000)+"\n"), 0)
	case EndlessBody:
		s.writeUntilClosed(c, head+"\r\n", encodeChunk(strings.Repeat("x", 16<<10)), 0)
	default:
		s.writeUntilClosed(c, head+"Content-Type: text/event-stream\r\n\r\n"+encodeChunk(Event(0)), encodeChunk(": still here\n\n"), trickleInterval)
	}
}

// answerHeaders returns the headers of an answer under a fault.
func (s *Server) answerHeaders(fault Fault) string {
	switch fault {
	case Unproven:
		return ""
	case Leave:
		return s.sealHeader() + "Server-Leaving: 1\r\n"
	}
	return s.sealHeader()
}

func (s *Server) sealHeader() string { return "Response-Seal: seal-" + s.ID + "\r\n" }

func writeResponse(c net.Conn, status, id, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
	return err == nil
}

func (s *Server) servePlain(c net.Conn, req *http.Request, id string, fault Fault) bool {
	if !s.pause(c) {
		return false
	}
	headers := s.answerHeaders(fault) + s.limitHeader(id)
	body := "answer to " + req.RequestURI
	if fault == CrashInAnswer {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s", id, headers, body[:len(body)/2])
		s.Crash()
		return false
	}
	if s.Undelimited {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s", id, headers, body)
		return false
	}
	if fault == CutAnswer {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, headers, 2*len(body), body)
		return false
	}
	ok := writeResponse(c, "200 OK", id, headers, body)
	if fault == Extra {
		ok = writeResponse(c, "200 OK", id, headers, body)
	}
	return ok
}
