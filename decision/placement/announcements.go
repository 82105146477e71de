package placement

import (
	"slices"
	"time"

	"jaylink/serving"
)

// maxNotices bounds the instances whose notices are kept; more than any fleet has.
const maxNotices = 4096

// instance is one run of an upstream. Its successor at the same address, or under the
// same ID, is another one.
type instance struct {
	id, address string
	born        int64
}

func instanceOf(u *serving.Upstream) instance { return instance{u.ID, u.Address, u.Born} }

// notice is what an upstream itself has said in its answers to this entry. It holds
// for the instance, also while the upstream list does not have it.
type notice struct {
	// leaving upstreams get no more requests, whatever the list says.
	leaving bool
	// restUntil is until when the upstream wants no requests from this entry.
	restUntil time.Time
}

// Leave takes an upstream's word that it is leaving and reports whether that is new.
func (t *Table) Leave(u serving.Upstream) bool {
	n := t.notice(u)
	if n.leaving {
		return false
	}
	n.leaving = true
	list := make([]serving.Upstream, 0, len(t.places))
	for _, p := range t.places {
		list = append(list, p.Upstream)
	}
	// Counts and homes are without it from now on.
	t.SetUpstreams(list)
	return true
}

// Leaving reports whether an upstream has said itself that it is leaving.
func (t *Table) Leaving(u serving.Upstream) bool {
	n := t.notices[instanceOf(&u)]
	return n != nil && n.leaving
}

// Rest takes an upstream's word that it wants no requests for a while and reports
// whether the time is longer than was known.
func (t *Table) Rest(now time.Time, u serving.Upstream, wait time.Duration) bool {
	n := t.notice(u)
	until := now.Add(wait)
	if !until.After(n.restUntil) {
		return false
	}
	n.restUntil = until
	if p := t.places[u.ID]; p != nil && p.notice == n && !slices.Contains(t.resting[u.Service], p) {
		t.resting[u.Service] = append(t.resting[u.Service], p)
	}
	return true
}

// notice returns that of an instance, which may be new.
func (t *Table) notice(u serving.Upstream) *notice {
	key := instanceOf(&u)
	n := t.notices[key]
	if n == nil {
		t.forgetNotices()
		n = &notice{}
		t.notices[key] = n
	}
	if p := t.places[u.ID]; p != nil && instanceOf(&p.Upstream) == key {
		p.notice = n
	}
	return n
}

// forgetNotices makes room among the notices of instances that are not listed.
func (t *Table) forgetNotices() {
	if len(t.notices) < maxNotices {
		return
	}
	for key := range t.notices {
		if p := t.places[key.id]; p == nil || instanceOf(&p.Upstream) != key {
			delete(t.notices, key)
		}
	}
}

// leaving reports whether an upstream gets no more requests.
func (p *place) leaving() bool { return p.Draining || p.notice != nil && p.notice.leaving }

// rests reports whether an upstream wants no requests now.
func (p *place) rests(now time.Time) bool { return p.notice != nil && now.Before(p.notice.restUntil) }

// Resting returns how many upstreams of a service that would take new requests want
// none now, and when the first of them takes some again.
func (t *Table) Resting(now time.Time, service string) (count int, until time.Time) {
	list := t.resting[service]
	if len(list) == 0 {
		return 0, until
	}
	list = slices.DeleteFunc(list, func(p *place) bool { return !p.rests(now) || p.leaving() || t.places[p.ID] != p })
	t.resting[service] = list
	for _, p := range list {
		if until.IsZero() || p.notice.restUntil.Before(until) {
			until = p.notice.restUntil
		}
	}
	return len(list), until
}
