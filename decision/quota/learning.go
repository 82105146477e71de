package quota

import (
	"math"
	"time"
)

// How a new process decides until it knows the totals of the others.
const (
	// learningRounds is the number of rounds of totals that a new process
	// receives before it uses the others' admitted work: a rate takes two
	// totals.
	learningRounds = 2
	// minFleetSizeTime is the least elapsed time that the size of the fleet is
	// extrapolated from.
	minFleetSizeTime = 10 * time.Millisecond
)

// SetPeerCount sets the number of other entries, as known from a source other than
// their messages.
func (q *Quota) SetPeerCount(peers int) { q.expectedPeers = peers }

// learningTime is how long a new process takes to learn the totals of the
// others.
func (q *Quota) learningTime() time.Duration { return learningRounds * q.totalsDelay }

// learning reports whether the totals of the others are not known well enough
// yet. An entry that uses only its share does not depend on them.
func (q *Quota) learning(now time.Time) bool {
	if q.localOnly {
		return false
	}
	if q.learned || now.Sub(q.startedAt) < q.learningTime() {
		return !q.learned
	}
	plentiful := q.peerView(now).plentiful
	q.learned = true
	since := now.Sub(q.startedAt) - q.learningTime()
	for name, b := range q.buckets {
		// The work that was admitted before the others were heard from is
		// unknown, but whether they consider the allowance scarce is known.
		initial := 0.0
		if plentiful[name] {
			initial = scarceLevelFraction * b.Burst
		}
		b.fleetLevel = math.Min(math.Min(b.fleetLevel, initial)+b.Rate*since.Seconds(), b.Burst)
	}
	return false
}

// fleetSize returns the number of entries. If no number was set by SetPeerCount and
// the first round of totals is still arriving, it extrapolates from the part of
// the round that has passed.
func (q *Quota) fleetSize(now time.Time) float64 {
	peers := float64(max(len(q.peers), q.expectedPeers))
	if elapsed := now.Sub(q.startedAt); q.expectedPeers == 0 && elapsed < q.totalsDelay {
		peers = math.Max(peers, float64(len(q.peers))*q.totalsDelay.Seconds()/math.Max(elapsed.Seconds(), minFleetSizeTime.Seconds()))
	}
	return peers + 1
}

// takeLearning admits work in a process that does not know the totals of the
// others yet. The work comes out of an equal share of the rate. If the others
// report that the allowance is not scarce, all of it is admitted.
func (q *Quota) takeLearning(now time.Time, b *bucket, customer string, work float64) (ok bool, wait time.Duration) {
	if b.localLevel <= 0 && !q.peerView(now).plentiful[customer] {
		refillTime := time.Duration((work - b.localLevel) / (b.Rate / q.fleetSize(now)) * float64(time.Second))
		return false, min(refillTime, q.learningTime()-now.Sub(q.startedAt))
	}
	b.localLevel -= work
	b.total.Admitted += work
	return true, 0
}
