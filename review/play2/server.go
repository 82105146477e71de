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
	slots  int
	// handle answers a request that the server runs; it reports whether the connection is kept.
	handle func(s *server, c *net.TCPConn, r *http.Request) bool

	mu       sync.Mutex
	listens  string
	isDown   bool
	born     int64
	listener net.Listener
	conns    map[*net.TCPConn]bool
}

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
		switch {
		case req.URL.Path == "/health":
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", s.id, s.slots)
		case req.URL.Path == "/v1/report" && s.engine:
			s.mu.Lock()
			report := fmt.Sprintf(`{"stage":"prefill_decode","models":[{"name":"m","version":1,"lora-adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kv-used":0,"kv-total":444000,"transfer-handles":0,"born":%d}`, s.born)
			s.mu.Unlock()
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		default:
			s.w.note("server %s runs %s %s, %d bytes, from event %d on", s.id, req.Header.Get("Request-Id"), req.URL.Path, len(body), platform.DecodeCaller(req.Header).LastEvent+1)
			if !s.handle(s, c, req) {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// sealOf is the proof that a server puts into its answer.
func (s *server) sealOf(id string) string { return "seal." + s.id + "." + id }

// reset breaks a connection off.
func reset(c *net.TCPConn) {
	// An error means that the connection is closed already.
	_ = c.SetLinger(0)
	_ = c.Close()
}
