package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	removedRounds    = 25
	removedRoundTime = 3600 * time.Millisecond
	maxRoundJitter   = 500 * time.Millisecond
	// captionServers and deskServers are the servers of a small deployment.
	captionServers = 18
	deskServers    = 3
	// leavingTogether is how many desk servers leave at the same time, after a caption server.
	leavingTogether = 2
	leavingLead     = 15 * time.Millisecond
	// replaceAfter is the time from the removal of servers to the start of others.
	replaceAfter = 2700 * time.Millisecond
	// deskPause makes the clients send some 50 orders and 25 look-ups a second. The sheet of the
	// deployment has 54 and 22.
	deskPause = 267 * time.Millisecond
)

// pool is the servers of a service.
type pool struct {
	f       *fleet
	service string
	firstID int
	all     []*server
}

// add starts one more server.
func (p *pool) add() error {
	n := len(p.all)
	s, err := p.f.addServer(fmt.Sprintf("i-%08x", p.firstID+n), p.service, p.f.at.zone(n), p.firstID+n, workTime)
	p.all = append(p.all, s)
	return err
}

// addAll starts servers until there are n in all.
func (p *pool) addAll(n int) error {
	for len(p.all) < n {
		if err := p.add(); err != nil {
			return err
		}
	}
	return nil
}

// playRemoved takes a caption server and two of three desk servers away, as planned changes at the same
// time. They do not report that they leave: the store removes their entries, and they go on serving for
// the drain bound and a little longer. Later others take their place.
func playRemoved(f *fleet, trouble bool) (bool, error) {
	f.at = studios
	f.putDeskConfig(1)
	desk := &pool{f: f, service: "desk", firstID: 0x5c20a000}
	captions := &pool{f: f, service: "captions", firstID: 0x7d100000}
	if err := desk.addAll(deskServers); err != nil {
		return false, err
	}
	if err := captions.addAll(captionServers); err != nil {
		return false, err
	}
	if err := f.startSmall(); err != nil {
		return false, err
	}
	cl, stop := f.startClients(2, 1, deskPause)
	time.Sleep(6 * time.Second)
	for round := range removedRounds {
		began := time.Now()
		if trouble {
			captions.all[round].vanish(f, leaveLonger)
			time.Sleep(leavingLead)
			for _, s := range desk.all[len(desk.all)-deskServers:][:leavingTogether] {
				s.vanish(f, leaveLonger)
			}
		}
		time.Sleep(replaceAfter)
		if trouble {
			if err := desk.addAll(len(desk.all) + leavingTogether); err != nil {
				return false, err
			}
			if err := captions.add(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(removedRoundTime + rand.N(maxRoundJitter))))
	}
	stop()
	return judgeLeaving(f, cl, desk.all), nil
}
