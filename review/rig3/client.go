package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client.
type sent struct {
	id    string
	entry *entry
	path  string
	key   string
	at    time.Time
	// status is that of the answer, or 0 if the channel ended without one.
	status  int
	err     error
	body    string
	took    time.Duration
	ordered bool
}

// clients collects what all clients have sent.
type clients struct {
	rec  *record
	next atomic.Int64
	mu   sync.Mutex
	all  []*sent
}

// conn is a kept channel of a client to an entry.
type conn struct {
	c net.Conn
	r *bufio.Reader
}

func dialEntry(e *entry) (*conn, error) {
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// loop sends requests one after the other on kept channels until stop is closed.
func (cl *clients) loop(e *entry, method, host, path, key string, deadline, pause time.Duration, stop <-chan struct{}) {
	var c *conn
	for {
		select {
		case <-stop:
			if c != nil {
				_ = c.c.Close()
			}
			return
		case <-time.After(pause):
		}
		if c == nil {
			var err error
			if c, err = dialEntry(e); err != nil {
				continue
			}
		}
		if s := cl.send(c, e, method, host, path, key, deadline); s.err != nil {
			_ = c.c.Close()
			c = nil
		}
	}
}

// send sends one request and reads its answer.
func (cl *clients) send(c *conn, e *entry, method, host, path, key string, deadline time.Duration) *sent {
	s := &sent{id: fmt.Sprintf("%016x", cl.next.Add(1)), entry: e, path: path, key: key, at: time.Now(), ordered: method == http.MethodPost}
	body := ""
	if s.ordered {
		body = "order " + s.id
	}
	_ = c.c.SetDeadline(s.at.Add(deadline + time.Second))
	_, s.err = fmt.Fprintf(c.c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, s.id, deadline.Milliseconds(), key, len(body), body)
	if s.err == nil {
		s.err = s.read(c)
	}
	s.took = time.Since(s.at)
	cl.rec.add("%s %s sent to %s at %.3f: answered %d after %v, error %v", method, s.id, e.name, s.at.Sub(cl.rec.start).Seconds(), s.status, s.took.Round(time.Millisecond), s.err)
	cl.mu.Lock()
	cl.all = append(cl.all, s)
	cl.mu.Unlock()
	return s
}

var errClosing = errors.New("the answer announces that the channel closes")

func (s *sent) read(c *conn) error {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	s.status, s.body = resp.StatusCode, string(data)
	if resp.Close {
		return errClosing
	}
	return nil
}
