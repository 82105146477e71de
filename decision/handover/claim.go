package handover

import "cmp"

// Claim says who owns a request, and under which epoch.
type Claim struct {
	Epoch uint64
	Owner string
}

// Before reports whether another claim is better: of the higher epoch, or, where
// two entries came to the same epoch, of the later name.
func (c Claim) Before(o Claim) bool {
	return cmp.Or(cmp.Compare(c.Epoch, o.Epoch), cmp.Compare(c.Owner, o.Owner)) < 0
}

// Notice says what an entry does about an announced claim.
type Notice int

// What to do about an announcement.
const (
	// Ignore means that the claim is known.
	Ignore Notice = iota
	// Accept means that the claim is better than what is known. What was
	// known as owner is told, unless it is the announced one.
	Accept
	// Correct means that a better claim is known; the announced owner is told.
	Correct
)

// Judge compares an announced claim with the one that an entry knows.
func Judge(known, announced Claim) Notice {
	switch {
	case known.Before(announced):
		return Accept
	case announced.Before(known):
		return Correct
	}
	return Ignore
}
