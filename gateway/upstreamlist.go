package gateway

import (
	"maps"
	"time"

	"jaylink/objects"
	"jaylink/platform"
	"jaylink/serving"
)

// maxRemoved limits the number of removed upstreams that are remembered for peers.
const maxRemoved = 256

// upstreamList is the state of the upstream list at a position of the store.
type upstreamList struct {
	position  objects.Position
	records   map[string]objects.Record
	upstreams map[string]serving.Upstream
	// removed maps recently removed upstreams to the revisions at which they were
	// removed, in the era of position.
	removed map[string]uint64
	// removedSince is the revision after which removed is complete.
	removedSince uint64
	// missing maps upstreams that are no longer registered but are kept for now to the
	// time at which they disappeared.
	missing map[string]time.Time
	// departed holds the upstreams that were draining or gone, also those of earlier eras.
	departed map[string]departure
}

// restored reports whether the store has been restored since the list before.
func (n *upstreamList) restored(before *upstreamList) bool {
	return before != nil && before.position.Era < n.position.Era
}

// mergeUpstreams returns the list with changes merged into it. Upstreams that are missing
// since less than the grace period are kept. A nil list is empty.
func mergeUpstreams(before *upstreamList, c objectChanges, now time.Time, grace time.Duration, logWarn func(string, ...any)) *upstreamList {
	if before == nil {
		before = &upstreamList{position: c.Position()}
		c.complete = true
	}
	next := &upstreamList{
		position: c.Position(), records: map[string]objects.Record{},
		upstreams: map[string]serving.Upstream{}, missing: map[string]time.Time{},
		removed: map[string]uint64{}, removedSince: c.Revision,
		departed: recentDepartures(before.departed, c.departed, now),
	}
	if !c.complete {
		maps.Copy(next.records, before.records)
		maps.Copy(next.upstreams, before.upstreams)
		maps.Copy(next.removed, before.removed)
		maps.Copy(next.missing, before.missing)
		next.removedSince = before.removedSince
	}
	for _, rec := range c.Items {
		next.mergeRecord(before, rec, c.complete, now, logWarn)
	}
	next.keepMissing(before, now, grace)
	next.recordDepartures(before, now)
	next.trimRemoved()
	return next
}

// mergeRecord merges one changed or listed record into the list.
func (n *upstreamList) mergeRecord(before *upstreamList, rec objects.Record, complete bool, now time.Time, logWarn func(string, ...any)) {
	delete(n.records, rec.Name)
	delete(n.upstreams, rec.Name)
	delete(n.missing, rec.Name)
	if rec.Deleted {
		n.removed[rec.Name] = n.position.Revision
		return
	}
	delete(n.removed, rec.Name)
	u, err := platform.DecodeUpstream(rec.Name, rec.Value)
	if err != nil {
		logWarn("upstream record can't be decoded", "upstream", rec.Name, "err", err)
		return
	}
	if n.isOfEarlierProcess(before, u) {
		return
	}
	n.records[rec.Name], n.upstreams[rec.Name] = rec, n.applyDeparture(u, complete, now)
}

// isOfEarlierProcess reports whether a record of a restored store is from before the last
// restart of its upstream, which has yet to register again.
func (n *upstreamList) isOfEarlierProcess(before *upstreamList, u serving.Upstream) bool {
	known, ok := before.upstreams[u.ID]
	_, missing := before.missing[u.ID]
	return ok && (missing || n.restored(before)) && u.StartMillis < known.StartMillis
}

// trimRemoved drops the oldest entries of removed beyond maxRemoved.
func (n *upstreamList) trimRemoved() {
	for len(n.removed) > maxRemoved {
		oldest := ""
		for id, at := range n.removed {
			if oldest == "" || at < n.removed[oldest] {
				oldest = id
			}
		}
		n.removedSince = n.removed[oldest]
		delete(n.removed, oldest)
	}
}

// delta returns the changes after a position, or the whole list if the removals since
// then are not all known. Missing upstreams are not part of it, because their removal
// changes no position; the receiver keeps those that it knows itself.
func (n *upstreamList) delta(after objects.Position) upstreamDelta {
	delta := upstreamDelta{
		RecordList: objects.RecordList{Era: n.position.Era, Revision: n.position.Revision},
		Complete:   after.Era != n.position.Era || after.Revision < n.removedSince,
		Departed:   n.departed,
	}
	for id, rec := range n.records {
		if _, missing := n.missing[id]; !missing && (delta.Complete || rec.Version > after.Revision) {
			delta.Items = append(delta.Items, rec)
		}
	}
	for id, at := range n.removed {
		if !delta.Complete && at > after.Revision {
			delta.Items = append(delta.Items, objects.Record{Kind: platform.KindUpstreams, Name: id, Version: at, Deleted: true})
		}
	}
	return delta
}

// upstreamDelta is the answer to a peer that asks for changes to the upstream list.
type upstreamDelta struct {
	objects.RecordList
	// Complete means that upstreams which are not in the list have been removed.
	Complete bool `json:"whole,omitempty"`
	// Departed holds the upstreams that were draining or gone, by ID.
	Departed map[string]departure `json:"departed,omitempty"`
}

// keepMissing keeps upstreams that disappeared without draining, if the store was restored
// or their service lost more than half of its upstreams at once. Their registrations may
// have expired because the store was unavailable, or may not be in the copy.
func (n *upstreamList) keepMissing(before *upstreamList, now time.Time, grace time.Duration) {
	lost, had := map[string]int{}, map[string]int{}
	for id, u := range before.upstreams {
		if u.Draining {
			continue
		}
		had[u.Service]++
		if _, ok := n.upstreams[id]; !ok {
			lost[u.Service]++
		}
	}
	for id, u := range before.upstreams {
		if _, ok := n.upstreams[id]; ok || u.Draining {
			continue
		}
		since, waiting := before.missing[id]
		if !waiting {
			since = now
		}
		if (waiting || n.restored(before) || lost[u.Service]*2 > had[u.Service]) && now.Sub(since) < grace {
			n.upstreams[id], n.records[id], n.missing[id] = u, before.records[id], since
		}
	}
}

// withoutExpired returns the list without the upstreams that have been missing for the
// grace period.
func (n *upstreamList) withoutExpired(now time.Time, grace time.Duration) *upstreamList {
	next := n.clone()
	for id, since := range n.missing {
		if now.Sub(since) >= grace {
			delete(next.records, id)
			delete(next.upstreams, id)
			delete(next.missing, id)
		}
	}
	next.recordDepartures(n, now)
	return next
}

// movedTo returns the list at a later position of the same era before which nothing in it
// has changed. The two share their content, which is never changed.
func (n *upstreamList) movedTo(p objects.Position) *upstreamList {
	next := *n
	next.position = p
	return &next
}

// clone returns a copy that can be changed.
func (n *upstreamList) clone() *upstreamList {
	c := *n
	c.records, c.upstreams = maps.Clone(n.records), maps.Clone(n.upstreams)
	c.removed, c.missing, c.departed = maps.Clone(n.removed), maps.Clone(n.missing), maps.Clone(n.departed)
	return &c
}
