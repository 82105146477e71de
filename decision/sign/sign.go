// Package sign decides whether a host is leaving, so that its upstreams get no
// new work. It combines signs that several entries (the observers) see at
// different times. It does no I/O and reads no clock.
//
// A host is leaving while any entry holds an unexpired sign that says so: from
// the host list, from the host's own report or from a reclaim notice. Each
// observer numbers its signs and withdraws only its own, so a lagging source
// never cancels what another observer saw. A sign that its observer does not
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

// The sources of signs.
const (
	// Report is the host's own report.
	Report Source = "report"
	// HostList is the list of hosts, in which the host is missing or not live.
	HostList Source = "host_list"
	// Notice is a reclaim notice, which carries a deadline.
	Notice Source = "notice"
)

const (
	// Validity is how long a sign from a report or the host list is valid.
	Validity = time.Minute
	// renewThreshold is the remaining validity at or below which a sign is
	// renewed.
	renewThreshold = Validity / 2
	// NoticeGrace is how long a reclaim notice is valid after its deadline.
	NoticeGrace = time.Minute
)

// Sign says that a host is leaving or, if Leaving is false, withdraws the
// observer's earlier sign from the same source.
type Sign struct {
	Host     string
	Source   Source
	Observer string
	// Sequence increases with each sign of the observer.
	Sequence uint64
	Leaving  bool
	// ValidFor is the remaining validity when the sign is sent or merged.
	ValidFor time.Duration
	// Deadline is when a reclaim notice ends the host; zero for other sources.
	Deadline time.Time
}

type signKey struct {
	host     string
	source   Source
	observer string
}

type storedSign struct {
	Sign
	expiresAt time.Time
}

// Set holds the signs known to one entry. It is not safe for concurrent use.
type Set struct {
	observer string
	sequence uint64
	hosts    map[string]map[signKey]storedSign
}

// NewSet returns an empty set for an observer. The sequence number must be higher
// than any that an earlier process of the same name used.
func NewSet(observer string, sequence uint64) *Set {
	return &Set{observer: observer, sequence: sequence, hosts: map[string]map[signKey]storedSign{}}
}

// Observe records what this entry itself sees in a source. It returns true and
// the sign to send to peers if there is one: a change, or the renewal of a sign
// that no other observer renews.
func (s *Set) Observe(now time.Time, host string, source Source, leaving bool) (Sign, bool) {
	own, exists := s.hosts[host][signKey{host, source, s.observer}]
	ownLeaving := exists && own.Leaving && now.Before(own.expiresAt)
	switch {
	case !leaving && !ownLeaving:
		return Sign{}, false
	case leaving && s.hasFreshSign(now, host, source):
		return Sign{}, false
	}
	return s.addOwn(now, Sign{Host: host, Source: source, Leaving: leaving, ValidFor: Validity}), true
}

// ObserveNotice records a reclaim notice. It returns true and the sign to send to
// peers unless the notice is already known or its grace period is over.
func (s *Set) ObserveNotice(now time.Time, host string, deadline time.Time) (Sign, bool) {
	validFor := deadline.Sub(now) + NoticeGrace
	if validFor <= 0 {
		return Sign{}, false
	}
	for _, h := range s.hosts[host] {
		if h.Source == Notice && h.Deadline.Equal(deadline) {
			return Sign{}, false
		}
	}
	return s.addOwn(now, Sign{Host: host, Source: Notice, Leaving: true, ValidFor: validFor, Deadline: deadline}), true
}

// hasFreshSign reports whether any observer has an unexpired sign that the host
// is leaving and that does not need renewal yet.
func (s *Set) hasFreshSign(now time.Time, host string, source Source) bool {
	for _, h := range s.hosts[host] {
		if h.Source == source && h.Leaving && h.expiresAt.Sub(now) > renewThreshold {
			return true
		}
	}
	return false
}

// addOwn numbers a sign of this observer, stores it and returns it.
func (s *Set) addOwn(now time.Time, sg Sign) Sign {
	s.sequence++
	sg.Observer, sg.Sequence = s.observer, s.sequence
	s.put(now, sg)
	return sg
}

func (s *Set) put(now time.Time, sg Sign) {
	if s.hosts[sg.Host] == nil {
		s.hosts[sg.Host] = map[signKey]storedSign{}
	}
	s.hosts[sg.Host][signKey{sg.Host, sg.Source, sg.Observer}] = storedSign{Sign: sg, expiresAt: now.Add(sg.ValidFor)}
}

// Merge adds a sign of another observer and reports whether it was new.
func (s *Set) Merge(now time.Time, sg Sign) bool {
	if sg.Observer == s.observer || sg.ValidFor <= 0 {
		return false
	}
	old, known := s.hosts[sg.Host][signKey{sg.Host, sg.Source, sg.Observer}]
	if known && old.Sequence >= sg.Sequence {
		return false
	}
	s.put(now, sg)
	return true
}

// Leaving reports whether any unexpired sign says that the host is leaving.
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

// Expire removes the expired signs.
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

// All returns the unexpired signs with their remaining validity, to be sent to an
// entry that has just started.
func (s *Set) All(now time.Time) []Sign {
	var out []Sign
	for _, signs := range s.hosts {
		for _, h := range signs {
			if !now.Before(h.expiresAt) {
				continue
			}
			sg := h.Sign
			sg.ValidFor = h.expiresAt.Sub(now)
			out = append(out, sg)
		}
	}
	slices.SortFunc(out, func(a, b Sign) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Source, b.Source), cmp.Compare(a.Observer, b.Observer))
	})
	return out
}

// Digest returns a hash of the unexpired signs that a host is leaving. Entries
// with the same digest have the same such signs.
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
