package placement

import (
	"slices"
	"time"

	"jaylink/serving"
)

// maxAnnouncements bounds the number of instances whose announcements are kept. It
// exceeds the size of any fleet.
const maxAnnouncements = 4096

// instanceKey identifies one run of an upstream. A later run with the same address or
// the same ID is a different instance.
type instanceKey struct {
	id, address string
	born        int64
}

func instanceKeyOf(u *serving.Upstream) instanceKey {
	return instanceKey{u.ID, u.Address, u.StartMillis}
}

// announcement is what an instance has announced in its answers to this entry. It stays
// in force for that instance even while the upstream list does not contain it.
type announcement struct {
	// leaving is set if the instance must get no more requests, even if the upstream
	// list says otherwise.
	leaving bool
	// pausedUntil is the time before which this entry must send the instance no
	// requests.
	pausedUntil time.Time
}

// MarkLeaving records that an upstream has announced that it is leaving. It reports whether
// the announcement is new.
func (t *Table) MarkLeaving(u serving.Upstream) bool {
	a := t.announcement(u)
	if a.leaving {
		return false
	}
	a.leaving = true
	t.rebuild()
	return true
}

// rebuild recomputes the counts and the home candidates.
func (t *Table) rebuild() {
	list := make([]serving.Upstream, 0, len(t.states))
	for _, s := range t.states {
		list = append(list, s.Upstream)
	}
	t.SetUpstreams(list)
}

// Leaving reports whether an upstream has itself announced that it is leaving.
func (t *Table) Leaving(u serving.Upstream) bool {
	a := t.announcements[instanceKeyOf(&u)]
	return a != nil && a.leaving
}

// Pause records that an upstream has asked to be sent no requests for a time. It reports
// whether this extends the pause.
func (t *Table) Pause(now time.Time, u serving.Upstream, wait time.Duration) bool {
	a := t.announcement(u)
	until := now.Add(wait)
	if !until.After(a.pausedUntil) {
		return false
	}
	a.pausedUntil = until
	if s := t.states[u.ID]; s != nil && s.announced == a && !slices.Contains(t.pausedStates[u.Service], s) {
		t.pausedStates[u.Service] = append(t.pausedStates[u.Service], s)
	}
	return true
}

// announcement returns the announcement of an instance and creates it if necessary.
func (t *Table) announcement(u serving.Upstream) *announcement {
	key := instanceKeyOf(&u)
	a := t.announcements[key]
	if a == nil {
		t.pruneAnnouncements()
		a = &announcement{}
		t.announcements[key] = a
	}
	if s := t.states[u.ID]; s != nil && instanceKeyOf(&s.Upstream) == key {
		s.announced = a
	}
	return a
}

// pruneAnnouncements deletes the announcements of instances that are not in the table
// if there are too many.
func (t *Table) pruneAnnouncements() {
	if len(t.announcements) < maxAnnouncements {
		return
	}
	for key := range t.announcements {
		if s := t.states[key.id]; s == nil || instanceKeyOf(&s.Upstream) != key {
			delete(t.announcements, key)
		}
	}
}

// leaving reports whether an upstream must get no more requests.
func (s *upstreamState) leaving() bool {
	return s.Draining || s.announced != nil && s.announced.leaving
}

// paused reports whether an upstream must get no requests now.
func (s *upstreamState) paused(now time.Time) bool {
	return s.announced != nil && now.Before(s.announced.pausedUntil)
}

// Paused returns how many upstreams of a service are paused and not leaving, and when
// the first pause ends.
func (t *Table) Paused(now time.Time, service string) (count int, until time.Time) {
	list := t.pausedStates[service]
	if len(list) == 0 {
		return 0, until
	}
	list = slices.DeleteFunc(list, func(s *upstreamState) bool { return !s.paused(now) || s.leaving() || t.states[s.ID] != s })
	t.pausedStates[service] = list
	for _, s := range list {
		if until.IsZero() || s.announced.pausedUntil.Before(until) {
			until = s.announced.pausedUntil
		}
	}
	return len(list), until
}
