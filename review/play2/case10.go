package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"jaylink/platform"
)

func init() { cases["10"] = soundPartRefused }

// Case 10: the deadly requests and the sound ones that have their first part in common with them.
const (
	serversOf10 = 18
	deadlyOf10  = 3
	// soundOf10 requests have the first part in common with the deadly ones, which come after
	// soundBefore of them.
	soundOf10   = 26
	soundBefore = 5
	soundPace   = 2700 * time.Millisecond
	otherPace   = 250 * time.Millisecond
	downOf10    = 3 * time.Second
	eventsOf10  = 8
	pieceTime   = 40 * time.Millisecond
	budgetOf10  = 10 * time.Second
	// firstPart begins the prompts of one kind of work, and otherFirstPart those of another one.
	firstPart      = "5c1e07a2:5382"
	otherFirstPart = "77aa01c3:5382"
)

func soundPartRefused(w *world) ([]string, error) {
	w.putConfig([]route{{name: "verse-draft", kind: "streaming", service: "caption-lm", attempts: 2, timeoutMs: 10000, resume: true}}, []string{"caption-lm"}, nil)
	stream := func(s *server, c *net.TCPConn, r *http.Request) bool {
		id := r.Header.Get("Request-Id")
		if isDeadly(platform.DecodeCaller(r.Header)) {
			time.Sleep(pieceTime / 2)
			go s.crashFor(downOf10)
			return false
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, s.sealOf(id)); err != nil {
			return false
		}
		for n := range eventsOf10 {
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(pieceTime)
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	for i := range serversOf10 {
		if err := w.startServer(&server{id: fmt.Sprintf("i-caption-%d", i+1), service: "caption-lm", engine: true, handle: stream}); err != nil {
			return nil, err
		}
	}
	if err := w.startGateways(4); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	sent, refused := 0, 0
	ask := func(n int, first string) answer {
		extra := fmt.Sprintf("Model: m\r\nToken-Count: 6610,80\r\nPrefix-Hash: %s,%x:1228\r\n", first, 0x100000+n)
		a := w.ask(w.gateways[n%len(w.gateways)], http.MethodPost, "/verse-draft/7", extra, fmt.Sprintf("verse %d", n), budgetOf10)
		mu.Lock()
		defer mu.Unlock()
		sent++
		if isOwnDenial(a) {
			refused++
		}
		return a
	}
	stop := make(chan struct{})
	others := make(chan struct{})
	go func() {
		defer close(others)
		var wg sync.WaitGroup
		defer wg.Wait()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(otherPace):
				wg.Go(func() { ask(1000+n, otherFirstPart) })
			}
		}
	}()
	deadly := make(chan struct{})
	for n := range soundOf10 {
		if n == soundBefore {
			go func() {
				defer close(deadly)
				w.sendDeadly()
			}()
		}
		a := ask(n, firstPart)
		if n < soundBefore && (a.status != http.StatusOK || !a.whole) {
			return nil, fmt.Errorf("a sound request beforehand: %s", a)
		}
		time.Sleep(soundPace)
	}
	<-deadly
	close(stop)
	<-others
	w.note("%d of %d sound requests were refused for good", refused, sent)
	if all := sent + deadlyOf10; refused*500 > 5*500+all {
		return []string{fmt.Sprintf("DENIED: %d of %d sound requests were ended with a 4xx of the system's own", refused, sent)}, nil
	}
	return nil, nil
}

// isOwnDenial reports whether an answer is a 3xx or 4xx of the system's own that counts for DENIED.
func isOwnDenial(a answer) bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return a.status >= 300 && a.status < 500 && !platform.DecodeAnswer(a.status, a.header).Sealed
}

// sendDeadly sends the requests that crash their servers, each with a body and a last part of its
// own.
func (w *world) sendDeadly() {
	if !w.trouble {
		return
	}
	time.Sleep(betweenDeadly)
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := range deadlyOf10 {
		wg.Go(func() {
			extra := fmt.Sprintf("Model: m\r\nToken-Count: 6610,80\r\nPrefix-Hash: %s,%x:%d\r\n", firstPart, 0x200000+n, deadlyTokens)
			w.ask(w.gateways[n%len(w.gateways)], http.MethodPost, "/verse-draft/7", extra, fmt.Sprintf("verse that can not be read, %d", n), budgetOf10)
		})
		time.Sleep(betweenDeadly)
	}
}

// isDeadly reports whether a request crashes its server.
func isDeadly(r platform.CallerHeaders) bool {
	return r.Prompt != nil && r.Prompt.Parts[len(r.Prompt.Parts)-1].Tokens == deadlyTokens
}

// deadlyTokens is the size of the last part of a deadly request, by which the servers know it, and
// betweenDeadly the time between two of them.
const (
	deadlyTokens  = 1229
	betweenDeadly = 400 * time.Millisecond
)
