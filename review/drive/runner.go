package main

import (
	"bufio"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// entry is the form of a runner's entry in the store.
//
//go:embed entry.json
var entry string

// runner is a stand-in of a runner. It answers one request at a time on a channel.
type runner struct {
	id, service, zone string
	listener          net.Listener
	born              int64
	// answer answers a request on its channel and reports whether the channel is kept.
	answer func(c net.Conn, req *http.Request, body []byte) bool
	// arrive, if set, is called for each request that is for this runner.
	arrive func(req *http.Request)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// startRunner starts a runner that is not in the store's list yet.
func (w *world) startRunner(id, service, zone string, answer func(net.Conn, *http.Request, []byte) bool) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	r := &runner{id: id, service: service, zone: zone, listener: l, born: time.Now().UnixMilli(), answer: answer, conns: map[net.Conn]bool{}}
	go r.accept()
	w.closers = append(w.closers, r.stop)
	return r
}

// list writes the runner's entry to the store.
func (w *world) list(r *runner, state string) { w.listAt(r, r.listener.Addr().String(), state) }

// listAt writes the entry of a runner that listens at an address.
func (w *world) listAt(r *runner, address, state string) {
	w.store.PutRaw("servers", r.id, fmt.Sprintf(entry, r.service, address, r.zone, state, r.born))
	w.logf("the store has confirmed the entry of runner %s (%s, %s): %s", r.id, r.service, r.zone, state)
}

// stop closes the listener and all channels.
func (r *runner) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *runner) accept() { r.acceptFrom(r.listener) }

func (r *runner) acceptFrom(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Method == http.MethodGet && req.URL.Path == "/v1/report" {
			if !r.report(c) {
				return
			}
			continue
		}
		if r.arrive != nil {
			r.arrive(req)
		}
		if !r.answer(c, req, body) {
			return
		}
	}
}

// report answers a call for the runner's report.
func (r *runner) report(c net.Conn) bool {
	body := fmt.Sprintf(`{"stage":"prefill_decode","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"born":%d}`, r.born)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// head returns the beginning of a sound answer.
func (r *runner) head(req *http.Request, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%s\r\n", req.Header.Get("Request-Id"), r.id, more)
}

// plain sends a sound answer with a length.
func (r *runner) plain(c net.Conn, req *http.Request, body string) bool {
	_, err := io.WriteString(c, r.head(req, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
	return err == nil
}
