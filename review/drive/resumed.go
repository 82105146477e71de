package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["resumed"] = playResumed }

// event returns one event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// chunk returns data as a chunk of a chunked body.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// stream returns the complete body of a stream.
func stream(events int) []byte {
	var b bytes.Buffer
	for n := range events {
		b.WriteString(event(n))
	}
	return b.Bytes()
}

// playResumed: the runners of a service fail some of their requests. A stream that one has
// broken off may be resumed at the next, and if that one fails it with a 4xx, the client must
// not see a complete success.
func playResumed(w *world) bool {
	const (
		events, pause = 20, 10 * time.Millisecond
		// share is the part of its requests that a runner fails.
		share               = 0.45
		clients, perClients = 8, 12
	)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(40, 1))
	fails := func() (bool, int) {
		mu.Lock()
		defer mu.Unlock()
		return w.trouble && random.Float64() < share, random.IntN(events-4) + 2
	}
	failed := 0
	answer := func(r **runner) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("Request-Id")
			first := 0
			if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
				first = last + 1
			}
			w.logf("runner %s runs %s from event %d", (*r).id, id, first)
			fail, before := fails()
			if fail && first > 0 {
				mu.Lock()
				failed++
				status := []string{"400 Bad Request", "404 Not Found"}[failed%2]
				mu.Unlock()
				body := `{"error":"this stream can't go on here"}`
				w.logf("runner %s fails %s with %s", (*r).id, id, status)
				_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, id, (*r).id, len(body), body)
				return err == nil
			}
			_, err := io.WriteString(c, (*r).head(req, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			for n := first; n < events && err == nil; n++ {
				if fail && n == before {
					w.logf("runner %s breaks off %s before event %d", (*r).id, id, n)
					return false
				}
				_, err = io.WriteString(c, chunk(event(n)))
				time.Sleep(pause)
			}
			if err == nil {
				_, err = io.WriteString(c, "0\r\n\r\n")
			}
			return err == nil
		}
	}
	var r1, r2 *runner
	r1 = w.startRunner("i-0001", "caption", "zone-a", answer(&r1))
	r2 = w.startRunner("i-0002", "caption", "zone-a", answer(&r2))
	w.list(r1, "ready")
	w.list(r2, "ready")
	w.configure([]route{{name: "draft", kind: "streaming", service: "caption", attempts: 2, resumable: true, timeout: 10 * time.Second}},
		[]service{{name: "caption", engine: true}})
	w.startGateways(2, "zone-a")
	served, spoilt := 0, 0
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			client, g := newClient(), w.gateways[c%len(w.gateways)]
			for i := range perClients {
				prefix := fmt.Sprintf("5c1e07a2:300,%x:100", 0x1000+100*c+i)
				out := call(client, g.front(), http.MethodPost, "/draft/1", newID(), "prompt", 10*time.Second, "400,160", prefix)
				whole := bytes.Equal(out.body, stream(events))
				w.logf("client sent %s to %s and got status %d, sealed: %v, %d bytes, complete: %v (%v), whole stream: %v, last bytes %q",
					out.id, g.name, out.status, out.sealed, len(out.body), out.err == nil, out.err, whole, out.body[max(len(out.body)-60, 0):])
				mu.Lock()
				if out.status == http.StatusOK && whole && out.err == nil {
					served++
				}
				if out.status == http.StatusOK && out.err == nil && !whole {
					w.logf("MIXED, ORDER: %s ends as complete before its last piece, where the runner had answered with a failure", out.id)
					spoilt++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	w.logf("of %d streams %d were served whole, %d resumed runs were failed with a 4xx, %d answers were spoilt", clients*perClients, served, failed, spoilt)
	if !w.trouble && served != clients*perClients {
		panic("a sound stream was not served")
	}
	if w.trouble && failed == 0 {
		panic("no resumed run was failed")
	}
	return spoilt > 0
}
