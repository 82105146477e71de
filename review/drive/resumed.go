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

// playResumed: one of four runners crashes while it writes streams, which may be resumed at
// the others. These fail a part of their requests with a 4xx. If a resumed run is failed, the
// client must not see a complete success.
func playResumed(w *world) bool {
	const (
		events, pause = 20, 40 * time.Millisecond
		// failed is the part of its requests that a runner fails.
		failed           = 0.45
		runners, clients = 4, 60
		// The runners fail requests for length. One crashes after crashAfter.
		length, crashAfter = 4 * time.Second, 2 * time.Second
	)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(40, 1))
	failures := 0
	fails := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return w.trouble && random.Float64() < failed
	}
	var all []*runner
	for n := range runners {
		var r *runner
		r = w.startRunner(fmt.Sprintf("i-%04d", n+1), "caption", "zone-a", func(c net.Conn, req *http.Request, _ []byte) bool {
			id := req.Header.Get("Request-Id")
			first := 0
			if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
				first = last + 1
			}
			if fails() {
				mu.Lock()
				status := "400 Bad Request"
				if first > 0 {
					failures++
					status = []string{"400 Bad Request", "404 Not Found"}[failures%2]
					w.logf("runner %s fails %s, which resumes from event %d, with %s", r.id, id, first, status)
				}
				mu.Unlock()
				body := `{"error":"this request has failed"}`
				_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, id, r.id, len(body), body)
				return err == nil
			}
			_, err := io.WriteString(c, r.head(req, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
			for n := first; n < events && err == nil; n++ {
				_, err = io.WriteString(c, chunk(event(n)))
				time.Sleep(pause)
			}
			if err == nil {
				_, err = io.WriteString(c, "0\r\n\r\n")
			}
			return err == nil
		})
		w.list(r, "ready")
		all = append(all, r)
	}
	w.configure([]route{{name: "draft", kind: "streaming", service: "caption", attempts: 2, resumable: true, timeout: 10 * time.Second}},
		[]service{{name: "caption", engine: true}})
	w.startGateways(2, "zone-a")
	began := time.Now()
	sent, served, spoilt := 0, 0, 0
	if w.trouble {
		time.AfterFunc(crashAfter, func() {
			w.logf("runner %s crashes", all[0].id)
			all[0].stop()
		})
	}
	var group sync.WaitGroup
	for c := range clients {
		group.Go(func() {
			client, g := newClient(), w.gateways[c%len(w.gateways)]
			for i := 0; time.Since(began) < length-events*pause-200*time.Millisecond; i++ {
				prefix := fmt.Sprintf("%x:100", 0x100000+10000*c+i)
				out := call(client, g.front(), http.MethodPost, "/draft/1", newID(), fmt.Sprintf("prompt %d %d", c, i), 10*time.Second, "100,160", prefix)
				whole := bytes.Equal(out.body, stream(events))
				mu.Lock()
				sent++
				if out.status == http.StatusOK && whole && out.err == nil {
					served++
				}
				if out.status == http.StatusOK && out.err == nil && !whole {
					w.logf("client sent %s to %s and got status %d, sealed: %v, complete, %d of %d pieces, last bytes %q",
						out.id, g.name, out.status, out.sealed, bytes.Count(out.body, []byte("\n\n")), events, out.body[max(len(out.body)-60, 0):])
					w.logf("MIXED, ORDER: %s ends as complete before its last piece, where the runner had answered with a failure", out.id)
					spoilt++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	w.logf("of %d streams in %v %d were served whole; %d resumed runs were failed with a 4xx, %d answers were spoilt", sent, length, served, failures, spoilt)
	if !w.trouble && served != sent {
		panic("a sound stream was not served")
	}
	if w.trouble && failures == 0 {
		panic("no resumed run was failed")
	}
	return spoilt > 0
}
