package upstreamlimit

import (
	"math"
	"time"
)

const (
	// minRate is the lowest rate, in requests per second, at which permits are issued.
	// An upstream that states less, or 0, gets a request now and then, whose answer shows
	// whether the limit still holds.
	minRate = 0.2
	// maxRate is the rate above which a limit does not matter, because no deployment
	// sends one upstream as many requests.
	maxRate = 1000
	// maxFuture is how far in the future a statement may be. Those that are further are
	// the result of a wrong clock, and would hide later statements.
	maxFuture = time.Second
)

// Statement is what an upstream has stated about its limit.
type Statement struct {
	// Instance identifies the run of the upstream, see serving.Upstream.Instance.
	Instance uint64
	// Limited is set if the upstream has stated a limit, and PerSecond is that limit.
	Limited   bool
	PerSecond float64
	// At is the time at which the statement was known to hold.
	At time.Time
}

// fromAnswer returns the statement in an answer to a request that was sent and whose
// answer arrived at the given times. The upstream made it in between. A statement that
// allows more than the current one is dated back to the sending, so that it does not
// replace one that was made later, and any other is dated to the arrival.
func fromAnswer(instance uint64, perSecond *float64, current Statement, sent, arrived time.Time) Statement {
	s := Statement{Instance: instance, At: arrived}
	if perSecond != nil {
		s.Limited, s.PerSecond = true, *perSecond
	}
	if s.allowsMoreThan(current) {
		s.At = sent
	}
	return s
}

// allowsMoreThan reports whether a statement allows more requests than another one.
func (s Statement) allowsMoreThan(o Statement) bool { return s.rate() > o.rate() }

// supersedes reports whether a statement replaces another one about the same instance:
// if it is later or, at the same time, allows less.
func (s Statement) supersedes(o Statement) bool {
	return s.At.After(o.At) || s.At.Equal(o.At) && o.allowsMoreThan(s)
}

// sameLimit reports whether two statements state the same limit.
func (s Statement) sameLimit(o Statement) bool {
	return s.Limited == o.Limited && s.PerSecond == o.PerSecond
}

// rate returns the permits per second, infinite if there is no limit.
func (s Statement) rate() float64 {
	if !s.Limited {
		return math.Inf(1)
	}
	return max(s.PerSecond, minRate)
}
