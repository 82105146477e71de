package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"jaylink/standin/upstream"
)

const (
	engines      = 18
	engineDown   = 2 * time.Second
	enginePace   = 30 * time.Millisecond
	versePath    = "/lohu930/2f"
	verseTime    = 10 * time.Second
	deadlyPart   = "5c1e07a2"
	firstPart    = "91bd3f06"
	soundPause   = 150 * time.Millisecond
	herdDown     = 300 * time.Millisecond
	allowedLate  = 3
	fatalCrashes = 5
)

// The times at which requests with the deadly part come, and at which all entries are killed, after the
// first of these requests.
var (
	deadlyTimes = []time.Duration{0, 4 * time.Second, 8100 * time.Millisecond, 12200 * time.Millisecond, 16300 * time.Millisecond, 20400 * time.Millisecond}
	herdTimes   = []time.Duration{4600 * time.Millisecond, 8700 * time.Millisecond, 12800 * time.Millisecond}
)

// addEngine starts a model engine.
func (f *fleet) addEngine(n int) (*upstream.Server, error) {
	s := &upstream.Server{ID: fmt.Sprintf("i-%08x", 0x3ab40000+n), Pace: enginePace, DeadlyParts: []string{deadlyPart}, Down: engineDown, RenewsStart: true}
	register := func() {
		f.putServer(s.ID, "captions", s.Address(), f.at.zone(n), 24, "ready", s.StartMillis())
	}
	s.Crashed = func() { f.rec.add("server %s crashes", s.ID) }
	s.Restarted = func() {
		f.rec.add("server %s is back", s.ID)
		register()
	}
	if err := s.Listen(fmt.Sprintf("%s.%d:0", f.subnet, 100+n), time.Now().UnixMilli()); err != nil {
		return nil, err
	}
	register()
	return s, nil
}

// verse sends one request for a stream on a new channel and returns its status, or 0.
func (f *fleet) verse(e *entry, id string, parts ...string) int {
	c, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(verseTime))
	prefix := strings.Join(parts, ":300,") + ":300," + id + ":40"
	body := "verse " + id
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: %d,40\r\nPrefix-Hash: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s",
		versePath, caseHost, id, 300*len(parts)+40, prefix, verseTime.Milliseconds(), caseKey, len(body), body)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// herdKill kills all entries at the same moment and starts them again.
func (f *fleet) herdKill() error {
	f.rec.add("all entries are killed")
	at := time.Now()
	for _, e := range f.entries {
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, e := range f.entries {
		<-e.done
		_ = e.log.Close()
	}
	time.Sleep(time.Until(at.Add(herdDown)))
	for _, e := range f.entries {
		if err := f.start(e); err != nil {
			return err
		}
		e.setOut(at, time.Now().Add(contactBound))
	}
	f.rec.add("all entries are started")
	return nil
}

// playDeadly sends requests with a part that crashes each engine that begins to answer them, among
// twenty times as many sound ones, and kills all entries in between.
func playDeadly(f *fleet, trouble bool) (bool, error) {
	f.at = studios
	f.store.PutRaw("config", "main", verseConfig)
	var list []*upstream.Server
	for n := range engines {
		s, err := f.addEngine(n)
		if err != nil {
			return false, err
		}
		list = append(list, s)
	}
	if err := f.startSmall(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	ended := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	sound := map[int]int{}
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(soundPause):
			}
			e := f.entries[n%len(f.entries)]
			wg.Go(func() {
				id := fmt.Sprintf("50%014x", n)
				status := f.verse(e, id, firstPart, fmt.Sprintf("e4402b%02x", n%16))
				f.rec.add("sound %s sent to %s: answered %d", id, e.name, status)
				mu.Lock()
				defer mu.Unlock()
				sound[status]++
			})
		}
	})
	time.Sleep(4 * time.Second)
	began := time.Now()
	through := map[string]*entry{}
	for n, at := range deadlyTimes {
		e, id := f.entries[n%len(f.entries)], fmt.Sprintf("de%014x", n)
		through[id] = e
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			f.rec.add("deadly %s sent to %s", id, e.name)
			f.rec.add("deadly %s answered %d", id, f.verse(e, id, firstPart, deadlyPart))
		})
	}
	for _, at := range herdTimes {
		time.Sleep(time.Until(began.Add(at)))
		if !trouble {
			continue
		}
		if err := f.herdKill(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(24 * time.Second)))
	close(ended)
	wg.Wait()
	f.rec.add("sound requests by status: %v", sound)
	return f.judgeDeadly(list, through), nil
}

// judgeDeadly counts the requests with the deadly part that reached engines later than the contact bound
// after the fifth crash, sent by entries in touch.
func (f *fleet) judgeDeadly(list []*upstream.Server, through map[string]*entry) bool {
	var crashes []time.Time
	for _, s := range list {
		for _, c := range s.PartCrashes() {
			crashes = append(crashes, c.At)
		}
	}
	if len(crashes) < fatalCrashes {
		// The part was refused in time.
		f.rec.add("only %d crashes", len(crashes))
		return false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	bound := crashes[fatalCrashes-1].Add(contactBound)
	late := 0
	for _, s := range list {
		for _, a := range s.Arrivals() {
			f.rec.add("%s ran at %s at %.3f", a.RequestID, s.ID, a.At.Sub(f.rec.start).Seconds())
			e := through[a.RequestID]
			if e == nil || !a.At.After(bound) || !e.inTouch(a.At) {
				continue
			}
			late++
			f.rec.add("LATE: deadly %s through %s reached %s at %.3f, %.1f s after the fifth crash", a.RequestID, e.name, s.ID, a.At.Sub(f.rec.start).Seconds(), a.At.Sub(crashes[fatalCrashes-1]).Seconds())
		}
	}
	fmt.Printf("%d crashes by one part; %d requests with it reached servers too late, %d are allowed\n", len(crashes), late, allowedLate)
	f.rec.add("%d crashes by one part; %d requests with it reached servers too late, %d are allowed", len(crashes), late, allowedLate)
	return late > allowedLate
}
