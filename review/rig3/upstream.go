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

// run is a request that a server has begun to run.
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

	mu    sync.Mutex
	conns map[net.Conn]bool
	gone  bool
	runs  []*run
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
		rec: f.rec, listener: l, conns: map[net.Conn]bool{},
	}
	go s.accept()
	f.rec.add("server %s of %s at %s", id, service, s.address)
	s.register(f, "ready", 0)
	return s, nil
}

// register writes the server's entry into the store.
func (s *server) register(f *fleet, state string, coldLeftMs int) {
	f.putServer(s.id, s.service, s.address, s.zone, 6, state, coldLeftMs, s.born)
}

// leave reports the planned shutdown. The server runs on for the drain bound and a little longer.
func (s *server) leave(f *fleet, longer time.Duration) {
	s.register(f, "draining", 0)
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
	s.mu.Lock()
	if s.gone {
		s.mu.Unlock()
		return net.ErrClosed
	}
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.rec.add("server %s runs %s %s", s.id, req.Method, id)
	time.Sleep(s.work)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return net.ErrClosed
	}
	run.ended = true
	body := "done " + id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nServer-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	return err
}
