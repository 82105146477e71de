// Package sign decides whether a host is leaving, from signs that several
// observers see at different times. It does no I/O and reads no clock.
//
// A host is leaving while any sign says so: the host list, its own report or a
// reclaim notice, seen by any entry. Each observer numbers its signs and
// withdraws only its own, so a lagging source never cancels what another one
// saw. A sign that its observer does not renew lapses.
package sign

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Source is where an observer sees that a host is leaving.
type Source string

// The sources.
const (
	Report   Source = "report"
	HostList Source = "host_list"
	Notice   Source = "notice"
)

const (
	// Validity is how long a sign of a report or host list holds.
	Validity = time.Minute
	// renewBelow is the rest of its validity at which a sign is renewed.
	renewBelow = Validity / 2
	// NoticeGrace is how long a notice holds after its deadline.
	NoticeGrace = time.Minute
)

// Sign says that a host is leaving, or withdraws that.
type Sign struct {
	Host     string
	Source   Source
	Observer string
	// Sequence rises with each sign of the observer.
	Sequence uint64
	Leaving  bool
	// ValidFor is how long the sign holds from now.
	ValidFor time.Duration
	// Deadline is the end of a reclaim notice; zero for other sources.
	Deadline time.Time
}

type key struct {
	host     string
	source   Source
	observer string
}

type held struct {
	Sign
	until time.Time
}

// Set holds the signs that one entry knows. It is not safe for concurrent use.
type Set struct {
	observer string
	sequence uint64
	hosts    map[string]map[key]held
}

// NewSet returns an empty set for an observer. The sequence must be higher than
// any that an earlier process of the same name used.
func NewSet(observer string, sequence uint64) *Set {
	return &Set{observer: observer, sequence: sequence, hosts: map[string]map[key]held{}}
}

// Observe takes what this entry sees itself. It returns the sign that peers
// must be told, if there is one: a change, or the renewal of a sign that no
// other observer keeps up.
func (s *Set) Observe(now time.Time, host string, source Source, leaving bool) (Sign, bool) {
	own, exists := s.hosts[host][key{host, source, s.observer}]
	ownLeaving := exists && own.Leaving && now.Before(own.until)
	switch {
	case !leaving && !ownLeaving:
		return Sign{}, false
	case leaving && s.kept(now, host, source):
		return Sign{}, false
	}
	return s.add(now, Sign{Host: host, Source: source, Leaving: leaving, ValidFor: Validity}), true
}

// ObserveNotice takes a reclaim notice. It returns the sign that peers must be
// told unless the notice is known already or long over.
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
	return s.add(now, Sign{Host: host, Source: Notice, Leaving: true, ValidFor: validFor, Deadline: deadline}), true
}

// kept reports whether some observer's sign holds and needs no renewal yet.
func (s *Set) kept(now time.Time, host string, source Source) bool {
	for _, h := range s.hosts[host] {
		if h.Source == source && h.Leaving && h.until.Sub(now) > renewBelow {
			return true
		}
	}
	return false
}

func (s *Set) add(now time.Time, sg Sign) Sign {
	s.sequence++
	sg.Observer, sg.Sequence = s.observer, s.sequence
	s.hold(now, sg)
	return sg
}

func (s *Set) hold(now time.Time, sg Sign) {
	if s.hosts[sg.Host] == nil {
		s.hosts[sg.Host] = map[key]held{}
	}
	s.hosts[sg.Host][key{sg.Host, sg.Source, sg.Observer}] = held{Sign: sg, until: now.Add(sg.ValidFor)}
}

// Merge takes a sign of another observer and reports whether it was new.
func (s *Set) Merge(now time.Time, sg Sign) bool {
	if sg.Observer == s.observer || sg.ValidFor <= 0 {
		return false
	}
	old, known := s.hosts[sg.Host][key{sg.Host, sg.Source, sg.Observer}]
	if known && old.Sequence >= sg.Sequence {
		return false
	}
	s.hold(now, sg)
	return true
}

// Leaving reports whether any sign says that the host is leaving.
func (s *Set) Leaving(now time.Time, host string) bool {
	for _, h := range s.hosts[host] {
		if h.Leaving && now.Before(h.until) {
			return true
		}
	}
	return false
}

// Deadline returns the earliest deadline of a reclaim notice for the host, and
// false if there is none.
func (s *Set) Deadline(now time.Time, host string) (time.Time, bool) {
	var first time.Time
	for _, h := range s.hosts[host] {
		if h.Source == Notice && now.Before(h.until) && (first.IsZero() || h.Deadline.Before(first)) {
			first = h.Deadline
		}
	}
	return first, !first.IsZero()
}

// Expire drops the signs that have lapsed.
func (s *Set) Expire(now time.Time) {
	for host, signs := range s.hosts {
		for k, h := range signs {
			if !now.Before(h.until) {
				delete(signs, k)
			}
		}
		if len(signs) == 0 {
			delete(s.hosts, host)
		}
	}
}

// All returns the signs that hold, with the rest of their validity, for an
// entry that has just started.
func (s *Set) All(now time.Time) []Sign {
	var out []Sign
	for _, signs := range s.hosts {
		for _, h := range signs {
			if !now.Before(h.until) {
				continue
			}
			sg := h.Sign
			sg.ValidFor = h.until.Sub(now)
			out = append(out, sg)
		}
	}
	slices.SortFunc(out, func(a, b Sign) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Source, b.Source), cmp.Compare(a.Observer, b.Observer))
	})
	return out
}

// Digest is a hash of the signs that say that a host is leaving. Entries with
// the same digest know the same.
func (s *Set) Digest(now time.Time) uint64 {
	var sum uint64
	for _, signs := range s.hosts {
		for _, h := range signs {
			if h.Leaving && now.Before(h.until) {
				sum ^= xxhash.Sum64String(h.Host + "\x00" + string(h.Source) + "\x00" + h.Observer)
			}
		}
	}
	return sum
}
