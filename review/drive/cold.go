package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

// coldParts are the deadly parts of the case cold.
var coldParts = []string{"dead0001", "dead0002", "dead0003"}

// coldPart returns the deadly part of a request, or "".
func coldPart(req *http.Request) string {
	for _, part := range coldParts {
		if hasPart(req, part) {
			return part
		}
	}
	return ""
}

// playCold: three parts of prompts crash runners from the first second of traffic after a
// start of all gateways. All requests share their first part.
func playCold(w *world) bool {
	const (
		runners, clients = 3, 100
		events, pause    = 12, 30 * time.Millisecond
		down             = 2 * time.Second
		// deadlyTime is the time in which requests with a deadly part come, and after the
		// time for which sound ones go on.
		deadlyTime, after = 22 * time.Second, 6 * time.Second
		// every is the number of requests of which one has each of the deadly parts.
		every    = 20
		interval = 200 * time.Millisecond
		contact  = 3 * time.Second
	)
	var mu sync.Mutex
	crashes := map[string]int{}
	for n := range runners {
		r := &crashingRunner{w: w}
		r.runner = w.startRunner(fmt.Sprintf("i-%04d", n+1), "caption", "zone-a", func(c net.Conn, req *http.Request, _ []byte) bool {
			time.Sleep(pause)
			if _, err := io.WriteString(c, r.head(req, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
				return false
			}
			time.Sleep(pause)
			if part := coldPart(req); w.trouble && part != "" {
				if r.crash(req.Header.Get("Request-Id"), down) {
					mu.Lock()
					crashes[part]++
					mu.Unlock()
				}
				return false
			}
			first := 0
			if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
				first = last + 1
			}
			for n := first; n < events; n++ {
				if _, err := io.WriteString(c, chunk(event(n))); err != nil {
					return false
				}
				time.Sleep(pause)
			}
			_, err := io.WriteString(c, "0\r\n\r\n")
			return err == nil
		})
		r.address = r.listener.Addr().String()
		w.list(r.runner, "ready")
	}
	w.configure([]route{{name: "draft", kind: "streaming", service: "caption", attempts: 2, resumable: true, timeout: 10 * time.Second}},
		[]service{{name: "caption", engine: true}})
	w.startGateways(2, "zone-a")
	// The gateways are in touch when the traffic begins.
	time.Sleep(contact + time.Second)
	began := time.Now()
	var group sync.WaitGroup
	statuses, afterwards := map[int]int{}, map[int]int{}
	sent, sound := 0, 0
	for c := range clients {
		group.Go(func() {
			client, g := newClient(), w.gateways[c%len(w.gateways)]
			for time.Since(began) < deadlyTime+after {
				next := time.Now().Add(interval)
				isAfter := time.Since(began) > deadlyTime
				mu.Lock()
				sent++
				number := sent
				mu.Unlock()
				parts := []string{"5c1e07a2:300"}
				deadly := ""
				if k := (number + number/every) % every; k < len(coldParts) && !isAfter {
					deadly = coldParts[k]
					parts = append(parts, deadly+":50")
				}
				parts = append(parts, fmt.Sprintf("%x:20", 0x10000+number))
				prefix := strings.Join(parts, ",")
				out := call(client, g.front(), http.MethodPost, "/draft/1", newID(), fmt.Sprintf("prompt %d", number), 10*time.Second, "400,96", prefix)
				mu.Lock()
				if deadly == "" {
					sound++
					statuses[out.status]++
					if isAfter {
						afterwards[out.status]++
					}
				}
				mu.Unlock()
				// Every tenth line is enough to follow what happens.
				if number%10 == 0 || number < 2*clients {
					w.logf("client sent %s (deadly part %q) to %s and got status %d, %v", out.id, deadly, g.name, out.status, out.err)
				}
				time.Sleep(time.Until(next))
			}
		})
	}
	group.Wait()
	denied := statuses[http.StatusBadRequest]
	w.logf("%d requests, %d of them sound, by status: %v; crashes by part: %v", sent, sound, statuses, crashes)
	w.logf("sound requests sent after the last one with a deadly part, by status: %v", afterwards)
	if !w.trouble && statuses[http.StatusOK] != sound {
		panic("a sound request was not served")
	}
	if denied > 5+sent/500 {
		w.logf("DENIED: %d of %d sound requests were ended with a 400 of the gateways, %d may", denied, sound, 5+sent/500)
		return true
	}
	return false
}
