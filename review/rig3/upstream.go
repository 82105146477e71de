package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// slots is the number of requests that a server runs at once, and queueLength how many may wait.
const slots, queueLength = 6, 24

// run is a request that has reached a server.
type run struct {
	id     string
	server string
	at     time.Time
	ended  bool
}

// server is a plain upstream. It runs what it gets until it exits.
type server struct {
	id, service, zone string
	address           string
	born              int64
	work              time.Duration
	rec               *record
	listener          net.Listener

	free chan struct{}

	mu               sync.Mutex
	conns            map[net.Conn]bool
	gone             bool
	runs             []*run
	running, waiting int
	// acked is when the store had accepted that the server leaves; zero if it does not.
	acked time.Time
}

func (f *fleet) addServer(id, service, zone string, n int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.subnet, 100+n%90))
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work,
		rec: f.rec, listener: l, conns: map[net.Conn]bool{}, free: make(chan struct{}, slots),
	}
	go s.accept()
	f.rec.add("server %s of %s at %s", id, service, s.address)
	s.register(f, "ready")
	return s, nil
}

// register writes the server's entry into the store.
func (s *server) register(f *fleet, state string) {
	f.putServer(s.id, s.service, s.address, s.zone, slots, state, s.born)
}

// leave reports the planned shutdown. The server runs on for the drain bound and a little longer.
func (s *server) leave(f *fleet, longer time.Duration) {
	s.register(f, "draining")
	s.mu.Lock()
	s.acked = time.Now()
	s.mu.Unlock()
	f.rec.add("server %s leaves, accepted by the store", s.id)
	time.AfterFunc(drainBound+longer, func() {
		s.exit()
		f.store.Delete("servers", s.id)
	})
}

// vanish removes the server's entry from the store without reporting that it leaves. The server runs
// on for the drain bound and a little longer.
func (s *server) vanish(f *fleet, longer time.Duration) {
	f.store.Delete("servers", s.id)
	s.mu.Lock()
	s.acked = time.Now()
	s.mu.Unlock()
	f.rec.add("the store has removed the entry of server %s", s.id)
	time.AfterFunc(drainBound+longer, s.exit)
}

// exit ends the server as a process does: its connections are closed.
func (s *server) exit() {
	s.rec.add("server %s exits", s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	s.gone = true
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
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
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if err := s.answer(c, req); err != nil {
			return
		}
	}
}

func (s *server) answer(c net.Conn, req *http.Request) error {
	id := req.Header.Get("Request-Id")
	if req.URL.Path == "/health" {
		s.mu.Lock()
		status := "200 OK"
		if !s.acked.IsZero() {
			status = "503 Service Unavailable"
		}
		s.mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, s.id)
		return err
	}
	if req.Header.Get(instanceHeader) != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return err
	}
	run := &run{id: id, server: s.id, at: time.Now()}
	s.rec.add("server %s gets %s %s", s.id, req.Method, id)
	if !s.enter(run) {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", id, s.stateHeaders())
		return err
	}
	s.free <- struct{}{}
	s.begin()
	s.rec.add("server %s runs %s", s.id, id)
	time.Sleep(s.work)
	<-s.free
	if !s.finish(run) {
		return net.ErrClosed
	}
	body := "done " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%sContent-Length: %d\r\n\r\n%s", id, id, s.stateHeaders(), len(body), body)
	if err == nil && s.leaving() {
		return errClosing
	}
	return err
}

// enter records a request that has reached the server, and reports whether it may wait for a slot.
func (s *server) enter(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
	if s.gone || s.running+s.waiting >= slots+queueLength {
		return false
	}
	s.waiting++
	return true
}

// begin records that a request has got a slot.
func (s *server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
}

// finish records that a request is done, and reports whether the server is still there to answer it.
func (s *server) finish(r *run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	r.ended = !s.gone
	return r.ended
}

func (s *server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.acked.IsZero()
}

// stateHeaders returns the headers in which an answer tells the server's state.
func (s *server) stateHeaders() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := fmt.Sprintf("Server-Load: %d,%d,%d\r\n", s.running, s.waiting, slots)
	if !s.acked.IsZero() {
		h += "Connection: close\r\n"
	}
	return h
}
