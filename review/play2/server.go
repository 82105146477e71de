package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"jaylink/platform"
)

// server is a server of a service. Its process can end and start again under the same ID.
type server struct {
	w       *world
	id      string
	service string
	address string
	// linked is set if the gateways reach the server through a link that can be cut.
	linked bool
	link   *link
	// engine is set for a model server, which has a report.
	engine bool
	// handle answers a request that the server runs; it reports whether the connection is kept.
	handle func(s *server, c *net.TCPConn, r *http.Request) bool

	mu       sync.Mutex
	listens  string
	running  int
	waiting  int
	places   chan struct{}
	isDown   bool
	born     int64
	listener net.Listener
	conns    map[*net.TCPConn]bool
}

// slots is how many requests a server runs at the same time, as its entry in the store has it. Others
// wait.
const slots = 16

// instanceHeader is the header that names the only server that may run a request.
var instanceHeader = func() string {
	for name, values := range platform.EncodeAttempt(http.Header{}, platform.Attempt{Instance: "instance", LastEvent: -1}) {
		if values[0] == "instance" {
			return name
		}
	}
	panic("no header names the server")
}()

// startServer starts a server and enters it in the store.
func (w *world) startServer(s *server) error {
	l, err := net.Listen("tcp", w.ip(100)+":0")
	if err != nil {
		return err
	}
	s.w, s.listens = w, l.Addr().String()
	s.address = s.listens
	if s.linked {
		if s.link, err = w.newLink(s.listens); err != nil {
			return err
		}
		s.address = s.link.address
	}
	s.serve(l)
	s.register()
	return nil
}

// serve begins a process of the server.
func (s *server) serve(l net.Listener) {
	s.mu.Lock()
	s.listener, s.conns, s.born = l, map[*net.TCPConn]bool{}, time.Now().UnixMilli()
	s.running, s.waiting, s.places = 0, 0, make(chan struct{}, slots)
	s.mu.Unlock()
	s.w.note("server %s runs at %s", s.id, s.address)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tcp := c.(*net.TCPConn)
			s.mu.Lock()
			s.conns[tcp] = true
			s.mu.Unlock()
			go s.talk(tcp)
		}
	}()
}

// register writes the server's entry, as it does itself after its start.
func (s *server) register() {
	s.mu.Lock()
	born := s.born
	s.mu.Unlock()
	s.w.store.PutUpstreamProcess(s.id, s.service, s.address, zone, "ready", born)
}

// crash ends the process: the kernel closes its connections and its port.
func (s *server) crash() {
	s.w.note("server %s crashes", s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

// restart starts the process again at its address, under the ID that it had.
func (s *server) restart() error {
	l, err := net.Listen("tcp", s.listens)
	if err != nil {
		return err
	}
	s.serve(l)
	s.register()
	return nil
}

// crashFor ends the process and starts it again after a time. A process that has ended stays so.
func (s *server) crashFor(down time.Duration) {
	s.mu.Lock()
	isDown := s.isDown
	s.isDown = true
	s.mu.Unlock()
	if isDown {
		return
	}
	s.crash()
	time.Sleep(down)
	if err := s.restart(); err != nil {
		s.w.note("server %s is not back: %v", s.id, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = false
}

// load returns the numbers of requests that run and wait.
func (s *server) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, s.waiting
}

// run answers a request once there is a place for it, and reports whether the connection is kept.
func (s *server) run(c *net.TCPConn, req *http.Request, size int) bool {
	s.mu.Lock()
	places := s.places
	s.waiting++
	s.mu.Unlock()
	places <- struct{}{}
	s.change(places, -1, 1)
	defer func() {
		s.change(places, 0, -1)
		<-places
	}()
	s.w.note("server %s runs %s %s, %d bytes, from event %d on", s.id, req.Header.Get("Request-Id"), req.URL.Path, size, platform.DecodeCaller(req.Header).LastEvent+1)
	return s.handle(s, c, req)
}

// change adds to the counts of the process that has the given places, unless it has ended.
func (s *server) change(places chan struct{}, waiting, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.places == places {
		s.waiting += waiting
		s.running += running
	}
}

// talk answers the requests of one connection.
func (s *server) talk(c *net.TCPConn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
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
		id := req.Header.Get("Request-Id")
		wanted := req.Header.Get(instanceHeader)
		running, waiting := s.load()
		switch {
		case req.URL.Path == "/health":
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n", s.id, running, waiting, slots)
		case req.URL.Path == "/v1/report" && s.engine:
			s.mu.Lock()
			born := s.born
			s.mu.Unlock()
			report := fmt.Sprintf(`{"stage":"prefill_decode","models":[{"name":"m","version":1,"lora-adapters":[]}],"busy":false,"sequence":0,"waiting":%d,"running":%d,"kv-used":%d,"kv-total":400000,"transfer-handles":0,"born":%d}`, waiting, running, running*tokensOfRun, born)
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		case wanted != "" && wanted != s.id:
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		default:
			if !s.run(c, req, len(body)) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// tokensOfRun is the memory that a run takes, about that of the prompts that are sent.
const tokensOfRun = 1500

// sealOf is the proof that a server puts into its answer.
func (s *server) sealOf(id string) string { return "seal." + s.id + "." + id }

// reset breaks a connection off.
func reset(c *net.TCPConn) {
	// An error means that the connection is closed already.
	_ = c.SetLinger(0)
	_ = c.Close()
}
