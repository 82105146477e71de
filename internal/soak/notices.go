package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"jaylink/standin/upstream"
)

const (
	// deadlyMark marks the bodies of deadly requests: an upstream that runs one crashes
	// and is down for downTime.
	deadlyMark = "ends its upstream"
	downTime   = 700 * time.Millisecond
	// deadlyPause is the time between two sends of a deadly request. deadlyExtraTime is
	// how long the sends go on after the duration of the fault.
	deadlyPause     = 100 * time.Millisecond
	deadlyExtraTime = 4 * time.Second
	// contactTime is the platform's bound contact-ms. When a request has crashed
	// deadlyLimit upstreams and contactTime has passed, at most maxLateSends more sends
	// of it may reach an upstream.
	contactTime  = 3 * time.Second
	deadlyLimit  = 3
	maxLateSends = 3
	// restTime is how long a resting upstream asks to get no requests. Between restStart
	// and restTime after that answer, an entry may send it at most maxSendsInRest
	// requests.
	restTime       = 2 * time.Second
	restStart      = 500 * time.Millisecond
	maxSendsInRest = 2
	// answerTime is the longest duration of an answer: a stream of all events.
	answerTime = upstream.Events * eventInterval
	// drainTime is the bound drain-ms of the entries' settings.
	drainTime = 2500 * time.Millisecond
)

// leave starts a replacement for an upstream, makes the upstream answer that it is
// leaving, and stops it after the time in which entries may still send it requests.
func (f *fleet) leave(i int, hold time.Duration) (*backend, error) {
	b, err := f.substitute(i)
	if err != nil {
		return nil, err
	}
	b.SetFault(upstream.Leave)
	time.Sleep(drainTime + hold)
	f.remove(b)
	return b, nil
}

// sendDeadly sends one deadly request repeatedly to random entries.
func (f *fleet) sendDeadly(rng *rand.Rand, hold time.Duration) string {
	subject := fmt.Sprintf("%x", rng.Uint64())
	body := deadlyMark + " " + subject
	c := &client{fleet: f, name: "deadly", rng: rng, http: &http.Client{Transport: &http.Transport{}}}
	defer c.http.CloseIdleConnections()
	end := time.Now().Add(hold + deadlyExtraTime)
	sent := 0
	for ; time.Now().Before(end); sent++ {
		// The answer is ignored; checkDeadly checks what the upstreams received.
		c.callWith(context.Background(), anyEntry(f, rng), "order", fmt.Sprintf("deadly-%s-%d", subject, sent), f.key(), subject, body)
		time.Sleep(deadlyPause)
	}
	return fmt.Sprintf("%s sent %d times", body, sent)
}

// checkDeadly checks that each deadly request reached upstreams no more often than the
// bound allows.
func checkDeadly(s seen, report func(string, ...any)) {
	arrivals := map[string][]time.Time{}
	for _, r := range s.arrivals {
		if strings.HasPrefix(r.Body, deadlyMark) {
			arrivals[r.Body] = append(arrivals[r.Body], r.At)
		}
	}
	for body, list := range arrivals {
		slices.SortFunc(list, time.Time.Compare)
		if len(list) <= deadlyLimit {
			continue
		}
		late := 0
		for _, at := range list[deadlyLimit:] {
			if at.Sub(list[deadlyLimit-1]) > contactTime {
				late++
			}
		}
		if late > maxLateSends {
			report("BUDGET: %s reached upstreams %d times, %d of them too late", body, len(list), late)
		}
	}
}

// checkNotices checks that entries respected what upstreams had answered: that they are
// leaving or resting. It skips upstreams with faulty connections or crashes, because
// their answers may not have reached the entry.
func checkNotices(f *fleet, observations []observation, report func(string, ...any)) {
	entryOf := map[string]*entry{}
	for _, v := range observations {
		for _, e := range f.entries {
			if e.name == v.entry {
				entryOf[v.id] = e
			}
		}
	}
	for _, b := range f.all() {
		if !b.proxy.neverFaulty() || b.Crashes() > 0 {
			continue
		}
		byEntry := map[*entry][]upstream.Arrival{}
		for _, a := range b.Arrivals() {
			if e := entryOf[a.RequestID]; e != nil {
				byEntry[e] = append(byEntry[e], a)
			}
		}
		for e, list := range byEntry {
			for i, notice := range list {
				late := countDisregarding(e, notice, list[i+1:])
				switch {
				case notice.Under == upstream.Leave && late > 0:
					report("DRAIN: %s got %d requests from %s after the drain time", b.ID, late, e.name)
				case notice.Under == upstream.Rest && late > maxSendsInRest:
					report("BUDGET: %s got %d requests from %s in its rest", b.ID, late, e.name)
				}
			}
		}
	}
}

// countDisregarding counts the later arrivals that disregard what an upstream had
// answered to an earlier one. It skips those before which the entry was disturbed.
func countDisregarding(e *entry, notice upstream.Arrival, later []upstream.Arrival) int {
	n := 0
	for _, a := range later {
		after := a.At.Sub(notice.At)
		against := false
		switch notice.Under {
		case upstream.Leave:
			// The answer takes answerTime.
			against = after > drainTime+answerTime
		case upstream.Rest:
			against = after > restStart && after < restTime
		}
		if against && e.undisturbed(notice.At, a.At) {
			n++
		}
	}
	return n
}
