package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	caseHost  = "ficu95.example"
	caseKey   = "3d3zji9n73hh2b9wu3fe"
	orderPath = "/baye92/2f"
	// statusPath is that of look-ups.
	statusPath = "/puxa403/2f"
	workTime   = 50 * time.Millisecond
)

// startSmall starts the entries of a small deployment.
func (f *fleet) startSmall() error {
	for _, z := range f.at.zones {
		for n := range z.entries {
			if _, err := f.addEntry(fmt.Sprintf("frontend-%s-%d", z.zone, n+1), z.zone); err != nil {
				return err
			}
		}
	}
	return f.awaitReady(15 * time.Second)
}

const (
	leavingRounds = 15
	roundTime     = 6500 * time.Millisecond
	freezeTime    = 3200 * time.Millisecond
	// startLead is the time from the start of a server to the end of the one that it replaces.
	startLead = 20 * time.Millisecond
	// configLag is the time from there to a new configuration.
	configLag = 220 * time.Millisecond
	// leaveLonger is how long a leaving server serves beyond the drain bound.
	leaveLonger = 60 * time.Millisecond
)

// playLeaving replaces the servers of a service one after the other, with a new configuration beside
// each. One of the entries that watch the store freezes right after it has announced both.
func playLeaving(f *fleet, trouble bool) (bool, error) {
	f.at = workshops
	f.putDeskConfig(1)
	var servers []*server
	add := func() error {
		n := len(servers)
		s, err := f.addServer(fmt.Sprintf("i-%08x", 0x908bf000+n), "desk", f.at.zone(n), n, workTime)
		servers = append(servers, s)
		return err
	}
	for range 3 {
		if err := add(); err != nil {
			return false, err
		}
	}
	if err := f.startSmall(); err != nil {
		return false, err
	}
	cl, stop := f.startClients(4, 0, 55*time.Millisecond)
	time.Sleep(6 * time.Second)
	watchers := f.watchers()
	for round := range leavingRounds {
		began := time.Now()
		// The next server starts first.
		if err := add(); err != nil {
			return false, err
		}
		time.Sleep(startLead)
		servers[round].leave(f, leaveLonger)
		time.Sleep(configLag)
		f.putDeskConfig(round + 2)
		f.rec.add("configuration %d accepted by the store", round+2)
		if trouble {
			time.Sleep(time.Duration(60+rand.IntN(120)) * time.Millisecond)
			f.freeze(watchers[round%len(watchers)], freezeTime)
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	stop()
	return judgeLeaving(f, cl, servers), nil
}

// startClients has clients send orders and others look-ups to every entry, each on a kept channel with a
// pause between two.
func (f *fleet) startClients(ordering, looking int, pause time.Duration) (cl *clients, stop func()) {
	cl = &clients{rec: f.rec}
	ended := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range f.entries {
		for range ordering {
			wg.Go(func() { cl.loop(e, "POST", caseHost, orderPath, caseKey, 2*time.Second, pause, ended) })
		}
		for range looking {
			wg.Go(func() { cl.loop(e, "GET", caseHost, statusPath, caseKey, 2*time.Second, pause, ended) })
		}
	}
	return cl, func() {
		close(ended)
		wg.Wait()
	}
}

// judgeLeaving looks for requests that reached a server too late, and for those among them that were lost
// with the server.
func judgeLeaving(f *fleet, cl *clients, servers []*server) bool {
	byID := map[string]*sent{}
	failed := 0
	for _, s := range cl.all {
		byID[s.id] = s
		if s.status != 200 {
			failed++
		}
	}
	late, lost := 0, 0
	for _, server := range servers {
		for _, r := range server.runs {
			if server.acked.IsZero() || r.at.Sub(server.acked) <= drainBound {
				continue
			}
			s := byID[r.id]
			if s == nil || !s.entry.inTouch(s.at) || !s.entry.inTouch(r.at) {
				continue
			}
			late++
			if !r.ended && s.status != 200 {
				lost++
			}
			f.rec.add("LATE: %s through %s reached %s %d ms after the store had accepted that it leaves; ended %t; the client got %d",
				r.id, s.entry.name, server.id, r.at.Sub(server.acked).Milliseconds(), r.ended, s.status)
		}
	}
	f.rec.add("%d requests sent, %d without success; %d reached a leaving server too late, %d of them were lost with it", len(cl.all), failed, late, lost)
	fmt.Printf("%d requests sent, %d without success; %d reached a leaving server too late, %d of them were lost with it\n", len(cl.all), failed, late, lost)
	return late > 0
}
