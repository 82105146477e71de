package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unsealed"] = playUnsealed }

// playUnsealed: one of two runners spoils some of its answers: they have other bytes and no
// seal. A gateway must not pass them on as a success.
func playUnsealed(w *world) bool {
	const (
		// size is the length of a sound answer, and spoiltSize that of a spoilt one with a
		// length.
		size, spoiltSize = 800, 2 << 20
		// spoilEvery is the number of answers of the faulty runner of which one is spoilt.
		spoilEvery = 20
		requests   = 600
		// endless is the number of the spoilt answer that has no end.
		endless = 4
	)
	sound := strings.Repeat("0123456789abcdef", size/16)
	var mu sync.Mutex
	answers := 0
	spoils := func() int {
		mu.Lock()
		defer mu.Unlock()
		if answers++; w.trouble && answers%spoilEvery == 0 {
			return answers / spoilEvery
		}
		return 0
	}
	answer := func(r **runner, faulty bool) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, req *http.Request, _ []byte) bool {
			spoilt := 0
			if faulty {
				spoilt = spoils()
			}
			id := req.Header.Get("Request-Id")
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", id)
			switch {
			case spoilt == 0:
				return (*r).plain(c, req, sound)
			case spoilt == endless:
				w.logf("runner %s runs %s and sends bytes without a seal and without end", (*r).id, id)
				_, err := io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
				for err == nil {
					_, err = io.WriteString(c, chunk(strings.Repeat("#", 16<<10)))
				}
				return false
			}
			w.logf("runner %s runs %s and sends %d bytes without a seal", (*r).id, id, spoiltSize)
			_, err := io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, spoiltSize, strings.Repeat("#", spoiltSize)))
			return err == nil
		}
	}
	var r1, r2 *runner
	r1 = w.startRunner("i-0001", "counter", "zone-a", answer(&r1, true))
	r2 = w.startRunner("i-0002", "counter", "zone-a", answer(&r2, false))
	w.list(r1, "ready")
	w.list(r2, "ready")
	w.configure([]route{
		{name: "status", kind: "idempotent", service: "counter", attempts: 2, timeout: 5 * time.Second},
		{name: "order", kind: "non_idempotent", service: "counter", attempts: 1, timeout: 5 * time.Second},
	}, []service{{name: "counter"}})
	w.startGateways(2, "zone-a")
	var group sync.WaitGroup
	served, unsealed := 0, 0
	for c := range 2 {
		group.Go(func() {
			client, g := newClient(), w.gateways[c]
			for i := range requests / 2 {
				target := []string{"/status/1", "/order/1"}[i%2]
				out := call(client, g.front(), http.MethodPost, target, newID(), "", 5*time.Second, "", "")
				if len(out.body) != size {
					w.logf("client sent %s to %s %s and got status %d, sealed: %v, %d bytes, complete: %v (%v)", out.id, g.name, target, out.status, out.sealed, len(out.body), out.err == nil, out.err)
				}
				mu.Lock()
				switch {
				case out.status == http.StatusOK && out.sealed && string(out.body) == sound:
					served++
				case out.status/100 == 2 && !out.sealed && out.err == nil:
					w.logf("MIXED: %s is a success without the runner's seal", out.id)
					unsealed++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	w.logf("of %d requests %d were served, %d got a success without a seal; runner %s answered %d requests", requests, served, unsealed, r1.id, answers)
	if !w.trouble && served != requests {
		panic("a sound request was not served")
	}
	if w.trouble && answers < 2*spoilEvery {
		panic("too few answers were spoilt")
	}
	return unsealed > 0
}
