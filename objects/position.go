package objects

import "cmp"

// FirstEra is the era of a store that has never been restored, and of one that does not
// tell its era.
const FirstEra = 1

// Position is a point in the history of a store. Within an era the revision increases
// with each change. A new era begins when the store comes back from an older copy of its
// data; it loses the changes since then and gives their revisions out again. The same
// revision in two eras stands for two different states.
type Position struct {
	// Era counts from FirstEra.
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is an earlier point than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }
