// Package sign decides whether a host is leaving, so that its upstreams get no
// new work. It combines signals that several entries (the observers) see at
// different times. It does no I/O and reads no clock.
//
// A host is leaving while any entry holds an unexpired signal that says so: from
// the host list, from the host's own report or from a reclaim notice. Each
// observer numbers its signals and withdraws only its own, so a lagging source
// never cancels what another observer saw. A signal that its observer does not
// renew expires.
package sign

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source is where an observer learned that a host is leaving.
type Source string

// The sources of signals.
const (
	// Report is the host's own report.
	Report Source = "report"
	// HostList is the list of hosts, in which the host is missing or not live.
	HostList Source = "host_list"
	// Notice is a reclaim notice, which carries a deadline.
	Notice Source = "notice"
)

const (
	// Validity is how long a signal from a report or the host list is valid.
	Validity = time.Minute
	// renewThreshold is the remaining validity at or below which a signal is
	// renewed.
	renewThreshold = Validity / 2
	// NoticeGrace is how long a reclaim notice is valid after its deadline.
	NoticeGrace = time.Minute
)

// Signal says that a host is leaving or, if Leaving is false, withdraws the
// observer's earlier signal from the same source.
type Signal struct {
	Host     string
	Source   Source
	Observer string
	// Sequence increases with each signal of the observer.
	Sequence uint64
	Leaving  bool
	// ValidFor is the remaining validity when the signal is sent or merged.
	ValidFor time.Duration
	// Deadline is when a reclaim notice ends the host; zero for other sources.
	Deadline time.Time
}

type signalKey struct {
	host     string
	source   Source
	observer string
}

type storedSignal struct {
	Signal
	expiresAt time.Time
}

// Set holds the signals known to one entry. It is not safe for concurrent use.
type Set struct {
	observer string
	sequence uint64
	hosts    map[string]map[signalKey]storedSignal
}

// NewSet returns an empty set for an observer. The sequence number must be higher
// than any that an earlier process of the same name used.
func NewSet(observer string, sequence uint64) *Set {
	return &Set{observer: observer, sequence: sequence, hosts: map[string]map[signalKey]storedSignal{}}
}

// Observe records what this entry itself sees in a source. It returns true and
// the signal to send to peers if there is one: a change, or the renewal of a signal
// that no other observer renews.
func (s *Set) Observe(now time.Time, host string, source Source, leaving bool) (Signal, bool) {
	own, exists := s.hosts[host][signalKey{host, source, s.observer}]
	ownLeaving := exists && own.Leaving && now.Before(own.expiresAt)
	switch {
	case !leaving && !ownLeaving:
		return Signal{}, false
	case leaving && s.hasFreshSignal(now, host, source):
		return Signal{}, false
	}
	return s.addOwn(now, Signal{Host: host, Source: source, Leaving: leaving, ValidFor: Validity}), true
}

// ObserveNotice records a reclaim notice. It returns true and the signal to send to
// peers unless the notice is already known or its grace period is over.
func (s *Set) ObserveNotice(now time.Time, host string, deadline time.Time) (Signal, bool) {
	validFor := deadline.Sub(now) + NoticeGrace
	if validFor <= 0 {
		return Signal{}, false
	}
	for _, h := range s.hosts[host] {
		if h.Source == Notice && h.Deadline.Equal(deadline) {
			return Signal{}, false
		}
	}
	return s.addOwn(now, Signal{Host: host, Source: Notice, Leaving: true, ValidFor: validFor, Deadline: deadline}), true
}

// hasFreshSignal reports whether any observer has an unexpired signal that the host
// is leaving and that does not need renewal yet.
func (s *Set) hasFreshSignal(now time.Time, host string, source Source) bool {
	for _, h := range s.hosts[host] {
		if h.Source == source && h.Leaving && h.expiresAt.Sub(now) > renewThreshold {
			return true
		}
	}
	return false
}

// addOwn numbers a signal of this observer, stores it and returns it.
func (s *Set) addOwn(now time.Time, sg Signal) Signal {
	s.sequence++
	sg.Observer, sg.Sequence = s.observer, s.sequence
	s.put(now, sg)
	return sg
}

func (s *Set) put(now time.Time, sg Signal) {
	if s.hosts[sg.Host] == nil {
		s.hosts[sg.Host] = map[signalKey]storedSignal{}
	}
	s.hosts[sg.Host][signalKey{sg.Host, sg.Source, sg.Observer}] = storedSignal{Signal: sg, expiresAt: now.Add(sg.ValidFor)}
}

// Merge adds a signal of another observer and reports whether it was new.
func (s *Set) Merge(now time.Time, sg Signal) bool {
	if sg.Observer == s.observer || sg.ValidFor <= 0 {
		return false
	}
	old, known := s.hosts[sg.Host][signalKey{sg.Host, sg.Source, sg.Observer}]
	if known && old.Sequence >= sg.Sequence {
		return false
	}
	s.put(now, sg)
	return true
}

// Leaving reports whether any unexpired signal says that the host is leaving.
func (s *Set) Leaving(now time.Time, host string) bool {
	for _, h := range s.hosts[host] {
		if h.Leaving && now.Before(h.expiresAt) {
			return true
		}
	}
	return false
}

// Deadline returns the earliest deadline of the unexpired reclaim notices for the
// host, and false if there are none.
func (s *Set) Deadline(now time.Time, host string) (time.Time, bool) {
	var first time.Time
	for _, h := range s.hosts[host] {
		if h.Source == Notice && now.Before(h.expiresAt) && (first.IsZero() || h.Deadline.Before(first)) {
			first = h.Deadline
		}
	}
	return first, !first.IsZero()
}

// Expire removes the expired signals.
func (s *Set) Expire(now time.Time) {
	for host, signs := range s.hosts {
		for k, h := range signs {
			if !now.Before(h.expiresAt) {
				delete(signs, k)
			}
		}
		if len(signs) == 0 {
			delete(s.hosts, host)
		}
	}
}

// All returns the unexpired signals with their remaining validity, to be sent to an
// entry that has just started.
func (s *Set) All(now time.Time) []Signal {
	var out []Signal
	for _, signs := range s.hosts {
		for _, h := range signs {
			if !now.Before(h.expiresAt) {
				continue
			}
			sg := h.Signal
			sg.ValidFor = h.expiresAt.Sub(now)
			out = append(out, sg)
		}
	}
	slices.SortFunc(out, func(a, b Signal) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Source, b.Source), cmp.Compare(a.Observer, b.Observer))
	})
	return out
}

// Digest returns a hash of the unexpired signals that a host is leaving. Entries
// with the same digest have the same such signals.
func (s *Set) Digest(now time.Time) uint64 {
	var sum uint64
	for _, signs := range s.hosts {
		for _, h := range signs {
			if h.Leaving && now.Before(h.expiresAt) {
				sum ^= xxhash.Sum64String(h.Host + "\x00" + string(h.Source) + "\x00" + h.Observer)
			}
		}
	}
	return sum
}
