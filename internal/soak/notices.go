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
	// deadlyMark is in the bodies that end the upstreams that run them, for downTime.
	deadlyMark = "ends its upstream"
	downTime   = 700 * time.Millisecond
	// deadlyPause is the time between two sends of a deadly request, deadlyTail how long
	// it is sent beyond the time of its fault.
	deadlyPause = 100 * time.Millisecond
	deadlyTail  = 4 * time.Second
	// contactTime is the platform's bound contact-ms; after it mostLate sends of a
	// request that has ended deadlyLimit upstreams may still reach one.
	contactTime = 3 * time.Second
	deadlyLimit = 3
	mostLate    = 3
	// restTime is what a resting upstream asks for. From restStart on an entry may send
	// it mostInRest requests.
	restTime   = 2 * time.Second
	restStart  = 500 * time.Millisecond
	mostInRest = 2
	// answerTime is what an answer takes at most: a stream of all events.
	answerTime = upstream.Events * eventPace
	// drainTime is the bound drain-ms of the entries' settings.
	drainTime = 2500 * time.Millisecond
)

// leave has an upstream answer that it leaves, beside a new one, and ends it later
// than the entries may send it anything.
func (f *fleet) leave(i int, hold time.Duration) (*backend, error) {
	b := f.retire(i)
	if err := f.addUpstream(b.service, b.zoneIndex()); err != nil {
		return nil, err
	}
	b.SetFault(upstream.Leave)
	time.Sleep(drainTime + hold)
	f.end(b)
	return b, nil
}

// sendDeadly sends one deadly request again and again, to any entry.
func (f *fleet) sendDeadly(rng *rand.Rand, hold time.Duration) string {
	subject := fmt.Sprintf("%x", rng.Uint64())
	body := deadlyMark + " " + subject
	c := &client{fleet: f, name: "deadly", rng: rng, http: &http.Client{Transport: &http.Transport{}}}
	defer c.http.CloseIdleConnections()
	end := time.Now().Add(hold + deadlyTail)
	sent := 0
	for ; time.Now().Before(end); sent++ {
		// What its caller is told does not matter; what upstreams see is checked.
		c.callWith(context.Background(), anyEntry(f, rng), "order", fmt.Sprintf("deadly-%s-%d", subject, sent), f.key(), subject, body)
		time.Sleep(deadlyPause)
	}
	return fmt.Sprintf("%s sent %d times", body, sent)
}

// checkDeadly holds the sends of each deadly request against the bound.
func checkDeadly(f *fleet, report func(string, ...any)) {
	arrivals := map[string][]time.Time{}
	for _, b := range f.all() {
		for _, r := range b.Arrivals() {
			if strings.HasPrefix(r.Body, deadlyMark) {
				arrivals[r.Body] = append(arrivals[r.Body], r.At)
			}
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
		if late > mostLate {
			report("BUDGET: %s reached upstreams %d times, %d of them too late", body, len(list), late)
		}
	}
}

// checkNotices holds what upstreams were sent against what they had told the entry.
// Only upstreams whose connections were never disturbed have surely told it.
func checkNotices(f *fleet, verdicts []verdict, report func(string, ...any)) {
	entryOf := map[string]*entry{}
	for _, v := range verdicts {
		for _, e := range f.entries {
			if e.name == v.entry {
				entryOf[v.id] = e
			}
		}
	}
	for _, b := range f.all() {
		if !b.proxy.sound() || b.Crashes() > 0 {
			continue
		}
		byEntry := map[*entry][]upstream.Arrival{}
		for _, a := range b.Arrivals() {
			if e := entryOf[a.RequestID]; e != nil {
				byEntry[e] = append(byEntry[e], a)
			}
		}
		for e, list := range byEntry {
			for i, told := range list {
				late := sentAgainst(e, told, list[i+1:])
				switch {
				case told.Under == upstream.Leave && late > 0:
					report("DRAIN: %s got %d requests from %s after the drain time", b.ID, late, e.name)
				case told.Under == upstream.Rest && late > mostInRest:
					report("BUDGET: %s got %d requests from %s in its rest", b.ID, late, e.name)
				}
			}
		}
	}
}

// sentAgainst counts the later arrivals that go against what an upstream told with an
// earlier one, as long as the entry was left alone.
func sentAgainst(e *entry, told upstream.Arrival, later []upstream.Arrival) int {
	n := 0
	for _, a := range later {
		after := a.At.Sub(told.At)
		against := false
		switch told.Under {
		case upstream.Leave:
			// The answer takes answerTime.
			against = after > drainTime+answerTime
		case upstream.Rest:
			against = after > restStart && after < restTime
		}
		if against && e.calm(told.At, a.At) {
			n++
		}
	}
	return n
}
