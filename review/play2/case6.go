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

// Case 6: events of a stream and the disruption. The pauses between events are within what counts as on
// time (300 ms).
const (
	eventsOfAll  = 14
	eventPace    = 250 * time.Millisecond
	gatewaysOf6  = 8
	serversOf6   = 4
	streamsOf6   = 60
	roundsOf6    = 4
	beforeFreeze = 1200 * time.Millisecond
	beforeReset  = 100 * time.Millisecond
	frozenOf6    = 2 * time.Second
)

// streams are the channels on which streams are under way.
type streams struct {
	mu   sync.Mutex
	open map[*net.TCPConn]bool
}

func (s *streams) set(c *net.TCPConn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.open[c] = true
	} else {
		delete(s.open, c)
	}
}

// resetHalf resets every second channel.
func (s *streams) resetHalf() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := 0
	for c := range s.open {
		if i++; i%2 == 0 {
			reset(c)
			n++
		}
	}
	return n
}

func resetWhileFrozen(w *world) ([]string, error) {
	w.putConfig([]route{{name: "repair-assessment", kind: "streaming", service: "advisor-models", attempts: 2, timeoutMs: 12000, resume: true}}, []string{"advisor-models"}, nil)
	under := &streams{open: map[*net.TCPConn]bool{}}
	stream := func(s *server, c *net.TCPConn, r *http.Request) bool {
		under.set(c, true)
		defer under.set(c, false)
		id := r.Header.Get("Request-Id")
		from := int(platform.DecodeCaller(r.Header).LastEvent + 1)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", id, s.sealOf(id))
		for n := from; n < eventsOfAll && err == nil; n++ {
			_, err = fmt.Fprintf(c, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
			time.Sleep(eventPace)
		}
		s.w.note("server %s ends %s: %v", s.id, id, err)
		return false
	}
	for i := range serversOf6 {
		if err := w.startServer(&server{id: fmt.Sprintf("i-advisor-%d", i+1), service: "advisor-models", engine: true, handle: stream}); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(gatewaysOf6); err != nil {
		return nil, err
	}
	var broken []string
	for round := range roundsOf6 {
		w.note("round %d", round+1)
		answers := resetRound(w, w.gateways[round], under)
		broken = append(broken, judgeStreams(answers, eventsOfAll)...)
	}
	return broken, nil
}

// resetRound sends streams through one gateway, which stands still while channels are reset.
func resetRound(w *world, g *gateway, under *streams) []answer {
	var wg sync.WaitGroup
	answers := make([]answer, streamsOf6)
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * eventPace / streamsOf6)
			extra := fmt.Sprintf("Model: m\r\nToken-Count: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,%x:660\r\n", 0x1000+i)
			answers[i] = w.ask(g, http.MethodPost, "/repair-assessment/7", extra, strings.Repeat("x", 600), 12*time.Second)
		})
	}
	time.Sleep(beforeFreeze)
	if w.trouble {
		g.freeze()
		time.Sleep(beforeReset)
		w.note("%d channels are reset", under.resetHalf())
		time.Sleep(frozenOf6 - beforeReset)
		g.thaw()
	}
	wg.Wait()
	return answers
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
