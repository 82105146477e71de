package poison

import "time"

// recentTimes holds the latest time of each of the most recently added keys, up to a
// limit. The keys are requests or parts.
type recentTimes struct {
	members map[uint64]time.Time
	limit   int
	ring    []uint64
	oldest  int
}

func newRecentTimes(limit int) *recentTimes {
	return &recentTimes{members: map[uint64]time.Time{}, limit: limit}
}

// add records a time of a key and reports whether it is the latest.
func (r *recentTimes) add(key uint64, at time.Time) bool {
	latest, known := r.members[key]
	switch {
	case known && !at.After(latest):
		return false
	case known:
	case len(r.ring) < r.limit:
		r.ring = append(r.ring, key)
	default:
		delete(r.members, r.ring[r.oldest])
		r.ring[r.oldest] = key
		r.oldest = (r.oldest + 1) % r.limit
	}
	r.members[key] = at
	return true
}

// has reports whether a key is among the most recent ones.
func (r *recentTimes) has(key uint64) bool {
	_, ok := r.members[key]
	return ok
}
