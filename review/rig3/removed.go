package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	removedRounds    = 15
	removedRoundTime = 5800 * time.Millisecond
	maxRoundJitter   = 600 * time.Millisecond
	// captionServers and deskServers are the servers of a small deployment.
	captionServers = 18
	deskServers    = 3
	// leavingTogether is how many desk servers leave at the same time.
	leavingTogether = 2
	// replaceAfter is the time from the removal of servers to the start of others.
	replaceAfter = 3200 * time.Millisecond
	// changeLead is the time from another server's change of its entry to the removal of theirs.
	changeLead = 15 * time.Millisecond
)

// playRemoved takes two of three servers of a service away at the same time, as a planned change. They
// do not report that they leave: the store removes their entries, and they go on serving for the
// drain bound and a little longer. Later two others take their place.
func playRemoved(f *fleet, trouble bool) (bool, error) {
	f.at = studios
	f.putDeskConfig(1)
	var desk []*server
	add := func() error {
		n := len(desk)
		s, err := f.addServer(fmt.Sprintf("i-%08x", 0x5c20a000+n), "desk", f.at.zone(n), n, workTime)
		desk = append(desk, s)
		return err
	}
	for range deskServers {
		if err := add(); err != nil {
			return false, err
		}
	}
	var captions []*server
	for n := range captionServers {
		s, err := f.addServer(fmt.Sprintf("i-%08x", 0x7d100000+n), "captions", f.at.zone(n), 50+n, workTime)
		if err != nil {
			return false, err
		}
		captions = append(captions, s)
	}
	if err := f.startSmall(); err != nil {
		return false, err
	}
	cl, stop := f.startOrders(3, 100*time.Millisecond)
	time.Sleep(6 * time.Second)
	for round := range removedRounds {
		began := time.Now()
		// A server of the other service says that it is warm.
		captions[round].register(f, "ready", 300-round)
		time.Sleep(changeLead)
		if trouble {
			for _, s := range desk[len(desk)-deskServers:][:leavingTogether] {
				s.vanish(f, leaveLonger)
			}
		}
		time.Sleep(replaceAfter)
		if trouble {
			for range leavingTogether {
				if err := add(); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(time.Until(began.Add(removedRoundTime + rand.N(maxRoundJitter))))
	}
	stop()
	return judgeLeaving(f, cl, desk), nil
}
