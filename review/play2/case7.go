package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["7"] = restartBehindACut }

// Case 7: an answer is written in two parts, and the disruption falls between them.
const (
	// serversOf7 is so large that one server is no more than 0.17 of them.
	serversOf7 = 6
	roundsOf7  = 5
	partOf7    = 400
	betweenOf7 = 100 * time.Millisecond
	budgetOf7  = 2 * time.Second
)

// halfOf returns one of the two parts of the body for a request.
func halfOf(id string, part int) string {
	text := fmt.Sprintf("part %d of %s ", part, id)
	return strings.Repeat(text, 1+partOf7/len(text))[:partOf7]
}

func restartBehindACut(w *world) ([]string, error) {
	w.putConfig([]route{
		{name: "order-lookup", kind: "idempotent", service: "workshop-desk", attempts: 2, timeoutMs: 2000},
		{name: "slot-booking", kind: "non_idempotent", service: "workshop-desk", attempts: 2, timeoutMs: 2000},
	}, nil, []string{"workshop-desk"})
	began := make(chan *server, 100)
	answerInParts := func(s *server, c *net.TCPConn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nConnection: close\r\n\r\n%s", id, s.sealOf(id), halfOf(id, 1))
		began <- s
		time.Sleep(betweenOf7)
		if err == nil {
			_, err = fmt.Fprint(c, halfOf(id, 2))
		}
		s.w.note("server %s ends the answer to %s: %v", s.id, id, err)
		return false
	}
	for i := range serversOf7 {
		if err := w.startServer(&server{id: fmt.Sprintf("i-desk-%d", i+1), service: "workshop-desk", linked: true, handle: answerInParts}); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return nil, err
	}
	var broken []string
	for round := range roundsOf7 {
		w.note("round %d", round+1)
		g := w.gateways[round%len(w.gateways)]
		answers := make([]answer, 2)
		var wg sync.WaitGroup
		for i, method := range []string{http.MethodGet, http.MethodPost} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				path := map[string]string{http.MethodGet: "/order-lookup/7", http.MethodPost: "/slot-booking/7"}[method]
				answers[i] = w.ask(g, method, path, "", strings.Repeat("x", 600*i), budgetOf7)
			}()
		}
		serving := map[*server]bool{}
		for range answers {
			select {
			case s := <-began:
				serving[s] = true
			case <-time.After(2 * time.Second):
				return nil, fmt.Errorf("an answer has not begun")
			}
		}
		if w.trouble {
			if err := restartBehindCut(w, serving); err != nil {
				return nil, err
			}
		}
		wg.Wait()
		for _, a := range answers {
			if a.status == http.StatusOK && a.whole && a.body != halfOf(a.id, 1)+halfOf(a.id, 2) {
				broken = append(broken, fmt.Sprintf("MIXED: the client of %s got %d of %d bytes as a whole answer", a.id, len(a.body), 2*partOf7))
			}
		}
		for range len(began) {
			<-began
		}
		time.Sleep(time.Second)
	}
	return broken, nil
}

// restartBehindCut cuts one of the servers off, which crashes behind the cut and is back before
// the cut heals.
func restartBehindCut(w *world, serving map[*server]bool) error {
	time.Sleep(10 * time.Millisecond)
	for s := range serving {
		w.note("server %s is cut off", s.id)
		s.link.setCut(true)
		time.Sleep(20 * time.Millisecond)
		s.crash()
		time.Sleep(time.Second)
		if err := s.restart(); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		w.note("the cut heals")
		s.link.setCut(false)
		break
	}
	return nil
}
