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

func init() { cases["deadly"] = playDeadly }

// deadlyPart is the part of a prompt that crashes runners when they begin to write.
const deadlyPart = "dead0001"

// hasPart reports whether a header of a request names a part of a prompt.
func hasPart(req *http.Request, part string) bool {
	for _, values := range req.Header {
		for _, value := range values {
			if strings.Contains(value, part+":") {
				return true
			}
		}
	}
	return false
}

// crashingRunner is a runner that crashes at the deadly part and is back after some seconds,
// under its ID and address, as a new process.
type crashingRunner struct {
	*runner
	w       *world
	address string
	// down is set while the runner is down.
	down bool
}

// crash ends all channels and refuses new ones for a time. It reports whether the runner was
// up.
func (r *crashingRunner) crash(id string, pause time.Duration) bool {
	r.mu.Lock()
	if r.down {
		r.mu.Unlock()
		return false
	}
	r.down = true
	r.mu.Unlock()
	r.w.logf("runner %s crashes as it begins to answer %s", r.id, id)
	r.stop()
	time.AfterFunc(pause, func() {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.w.logf("runner %s is not back: %v", r.id, err)
			return
		}
		r.mu.Lock()
		r.listener, r.born, r.down = l, time.Now().UnixMilli(), false
		r.mu.Unlock()
		go r.acceptFrom(l)
		r.w.listAt(r.runner, r.address, "ready")
	})
	return true
}

// playDeadly: a shared part of some prompts crashes each runner that begins to write an
// answer on it. Sound requests have the parts before it.
func playDeadly(w *world) bool {
	const (
		runners, clients = 8, 16
		events, pause    = 12, 30 * time.Millisecond
		down             = 2 * time.Second
		// calm is the time before the deadly part comes, and deadlyTime that in which it comes.
		calm, deadlyTime = 8 * time.Second, 22 * time.Second
		contact          = 3 * time.Second
		// sharedParts is the number of parts that all prompts share; the deadly one follows.
		sharedParts = 8
		// every is the number of requests of a client of which one has the deadly part.
		every = 20
		// interval is the time between two requests of a client.
		interval = 250 * time.Millisecond
	)
	var mu sync.Mutex
	var crashes []time.Time
	reached := map[string]bool{}
	late := 0
	for n := range runners {
		r := &crashingRunner{w: w}
		r.runner = w.startRunner(fmt.Sprintf("i-%04d", n+1), "caption", "zone-a", func(c net.Conn, req *http.Request, _ []byte) bool {
			time.Sleep(pause)
			if _, err := io.WriteString(c, r.head(req, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")); err != nil {
				return false
			}
			if w.trouble && hasPart(req, deadlyPart) {
				if r.crash(req.Header.Get("Request-Id"), down) {
					mu.Lock()
					crashes = append(crashes, time.Now())
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
		r.arrive = func(req *http.Request) {
			id := req.Header.Get("Request-Id")
			mu.Lock()
			defer mu.Unlock()
			reached[id] = true
			if hasPart(req, deadlyPart) {
				w.logf("request %s with the deadly part reaches runner %s", id, r.id)
				if len(crashes) >= 5 && time.Since(crashes[4]) > contact {
					late++
				}
			}
		}
		w.list(r.runner, "ready")
	}
	w.configure([]route{{name: "draft", kind: "streaming", service: "caption", attempts: 2, resumable: true, timeout: 10 * time.Second}},
		[]service{{name: "caption", engine: true}})
	w.startGateways(2, "zone-a")
	time.Sleep(4 * time.Second)
	var shared []string
	for n := range sharedParts {
		shared = append(shared, fmt.Sprintf("5c1e%04x:50", n))
	}
	began := time.Now()
	var group sync.WaitGroup
	var sound []outcome
	statuses := map[int]int{}
	for c := range clients {
		group.Go(func() {
			client, g := newClient(), w.gateways[c%len(w.gateways)]
			for i := 0; time.Since(began) < calm+deadlyTime; i++ {
				next := time.Now().Add(interval)
				parts := append([]string(nil), shared...)
				isDeadly := time.Since(began) > calm && (i+c)%every == 0
				if isDeadly {
					parts = append(parts, deadlyPart+":50")
				}
				parts = append(parts, fmt.Sprintf("%x:20", 0x10000+1000*c+i))
				prefix := strings.Join(parts, ",")
				out := call(client, g.front(), http.MethodPost, "/draft/1", newID(), fmt.Sprintf("prompt %d %d", c, i), 10*time.Second, "600,96", prefix)
				mu.Lock()
				if !isDeadly {
					sound = append(sound, out)
					statuses[out.status]++
				}
				mu.Unlock()
				if isDeadly || out.status != http.StatusOK {
					w.logf("client sent %s (deadly part: %v) to %s and got status %d, %v", out.id, isDeadly, g.name, out.status, out.err)
				}
				time.Sleep(time.Until(next))
			}
		})
	}
	group.Wait()
	w.logf("sound requests by status: %v; %d crashes", statuses, len(crashes))
	if !w.trouble {
		if statuses[http.StatusOK] != len(sound) {
			panic("a sound request was not served")
		}
		return false
	}
	if len(crashes) < 5 {
		w.logf("fewer than five crashes")
		return false
	}
	w.logf("%d requests with the deadly part reached a runner later than %v after the fifth crash; three may", late, contact)
	begun, all := map[bool]int{}, map[bool]int{}
	for _, out := range sound {
		isLate := out.sentAt.Sub(crashes[4]) > 2*contact
		if !isLate && out.sentAt.Sub(began) > calm {
			continue
		}
		all[isLate]++
		if reached[out.id] {
			begun[isLate]++
		}
	}
	w.logf("sound requests that began at the first attempt: %d of %d before the deadly part came, %d of %d later than %v after the fifth crash, while it still came",
		begun[false], all[false], begun[true], all[true], 2*contact)
	isLost := all[false] >= 20 && all[true] >= 20 && 2*begun[true]*all[false] < begun[false]*all[true]
	if isLost {
		w.logf("LOST: sound requests begin less than half as often")
	}
	if late > 3 {
		w.logf("BUDGET: too many requests with the deadly part reached runners")
	}
	if denied := statuses[http.StatusBadRequest]; denied > 5+len(sound)/500 {
		w.logf("DENIED: %d of %d sound requests were ended with a 400", denied, len(sound))
	}
	return isLost || late > 3
}
