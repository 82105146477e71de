package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"jaylink/platform"
)

func init() { cases["6"] = resetWhileFrozen }

// Case 6: events of a stream, its pause and the disruption.
const (
	eventsBefore = 8
	eventsOfAll  = 24
	eventPace    = 20 * time.Millisecond
	// preempted is how long the server works on other requests in the middle of a stream.
	preempted = 3 * time.Second
)

func resetWhileFrozen(w *world) ([]string, error) {
	w.putConfig([]route{{name: "repair-assessment", kind: "streaming", service: "advisor-models", attempts: 2, timeoutMs: 12000, resume: true}}, []string{"advisor-models"}, nil)
	var mu sync.Mutex
	pausing := map[*net.TCPConn]bool{}
	pauses := make(chan struct{}, 100)
	stream := func(s *server, c *net.TCPConn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		from := int(platform.DecodeCaller(r.Header).LastEvent + 1)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, s.sealOf(id)); err != nil {
			return false
		}
		for n := from; n < eventsOfAll; n++ {
			if n == eventsBefore && from == 0 {
				mu.Lock()
				pausing[c] = true
				mu.Unlock()
				pauses <- struct{}{}
				time.Sleep(preempted)
				mu.Lock()
				delete(pausing, c)
				mu.Unlock()
			}
			if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
				s.w.note("server %s: stream %s broke off before event %d", s.id, id, n)
				return false
			}
			time.Sleep(eventPace)
		}
		s.w.note("server %s has sent all of %s", s.id, id)
		return false
	}
	for i := range serversOf6 {
		if err := w.startServer(&server{id: fmt.Sprintf("i-advisor-%d", i+1), service: "advisor-models", engine: true, slots: 32, handle: stream}); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return nil, err
	}
	var broken []string
	for round := range roundsOf6 {
		w.note("round %d", round+1)
		answers, err := resetRound(w, w.gateways[round%len(w.gateways)], pauses, &mu, pausing)
		if err != nil {
			return nil, err
		}
		broken = append(broken, judgeStreams(answers, eventsOfAll)...)
	}
	return broken, nil
}

const (
	serversOf6 = 4
	streamsOf6 = 60
	roundsOf6  = 3
)

// resetRound sends streams through one gateway, which stands still while channels are reset.
func resetRound(w *world, g *gateway, pauses chan struct{}, mu *sync.Mutex, pausing map[*net.TCPConn]bool) ([]answer, error) {
	var wg sync.WaitGroup
	answers := make([]answer, streamsOf6)
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			extra := fmt.Sprintf("Model: m\r\nToken-Count: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,%x:660\r\n", 0x1000+i)
			answers[i] = w.ask(g, http.MethodPost, "/repair-assessment/7", extra, strings.Repeat("x", 600), 12*time.Second)
		}()
	}
	for range answers {
		select {
		case <-pauses:
		case <-time.After(5 * time.Second):
			return nil, fmt.Errorf("a stream has not begun")
		}
	}
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		g.freeze()
		time.Sleep(800 * time.Millisecond)
		mu.Lock()
		w.note("the servers reset channels of %d", len(pausing))
		n := 0
		for c := range pausing {
			if n++; n%2 == 0 {
				reset(c)
			}
		}
		mu.Unlock()
		time.Sleep(900 * time.Millisecond)
		g.thaw()
	}
	wg.Wait()
	return answers, nil
}

// judgeStreams returns the streams that ended as complete and lack a piece.
func judgeStreams(answers []answer, all int) []string {
	var broken []string
	for _, a := range answers {
		if !a.whole || a.status != http.StatusOK {
			continue
		}
		want := 0
		for want < all && strings.Contains(a.body, fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", want, want, a.id)) {
			want++
		}
		if want < all {
			broken = append(broken, fmt.Sprintf("ORDER: stream %s ended as complete after %d of %d pieces", a.id, want, all))
		}
	}
	return broken
}
