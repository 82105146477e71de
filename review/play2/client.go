package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client has got for one attempt.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// whole is set if the answer ended as the protocol says, err is what ended it otherwise.
	whole bool
	err   error
	took  time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: status %d, %d bytes, not whole (%v), after %d ms", a.id, a.status, len(a.body), a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("%s: status %d, %d bytes, whole, after %d ms", a.id, a.status, len(a.body), a.took.Milliseconds())
}

// ask sends one request with the tenant's key on a new connection and reads the answer.
func (w *world) ask(g *gateway, method, path, extra, body string, budget time.Duration) answer {
	return w.askWith(g, clientKey, method, path, extra, body, budget)
}

// askWith is ask with any key.
func (w *world) askWith(g *gateway, key, method, path, extra, body string, budget time.Duration) (a answer) {
	a.id = w.newID()
	began := time.Now()
	defer func() {
		a.took = time.Since(began)
		w.note("client gets %s", a)
	}()
	c, err := net.DialTimeout("tcp", g.front(), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	// Errors show at the next read or write.
	_ = c.SetDeadline(began.Add(budget + 2*time.Second))
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	w.note("client sends %s %s %s to %s", a.id, method, path, g.name)
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n%s%s\r\n%s", method, path, clientHost, a.id, budget.Milliseconds(), key, extra, length, body); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	data, err := io.ReadAll(resp.Body)
	a.body, a.err, a.whole = string(data), err, err == nil
	return a
}
