package handover

import "cmp"

// Claim states which entry owns a request, and in which epoch.
type Claim struct {
	Epoch uint64
	Owner string
}

// Before reports whether o supersedes c: it has a higher epoch, or the same
// epoch and an owner whose name sorts later. The name decides if two entries
// chose the same epoch.
func (c Claim) Before(o Claim) bool {
	return cmp.Or(cmp.Compare(c.Epoch, o.Epoch), cmp.Compare(c.Owner, o.Owner)) < 0
}

// Response is how an entry responds to an announced claim.
type Response int

// Responses to an announced claim.
const (
	// Ignore means that the announced claim is already known.
	Ignore Response = iota
	// Accept means that the announced claim supersedes the known one. The known
	// owner is told about it, unless it is the announced owner.
	Accept
	// Correct means that the known claim supersedes the announced one. The
	// announced owner is told about it.
	Correct
)

// CompareClaims compares an announced claim with the one that the entry knows.
func CompareClaims(known, announced Claim) Response {
	switch {
	case known.Before(announced):
		return Accept
	case announced.Before(known):
		return Correct
	}
	return Ignore
}
