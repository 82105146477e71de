package quota

import (
	"math"
	"time"
)

// What a new process goes by until it knows the others.
const (
	// learnRounds is how many rounds of totals a new process hears before it goes by
	// what the others admit: two totals make a rate.
	learnRounds = 2
	// minHeard is the least time from which the size of the fleet is worked out.
	minHeard = 10 * time.Millisecond
)

// Expect says how many other entries there are, as far as is known without their
// words.
func (q *Quota) Expect(others int) { q.others = others }

// learnTime is how long a new process takes to know the others.
func (q *Quota) learnTime() time.Duration { return learnRounds * q.totals }

// learning reports whether the totals of the others are not known well enough yet.
// Where they come too late to go by, an entry keeps to its part anyway.
func (q *Quota) learning(now time.Time) bool {
	if q.partsOnly {
		return false
	}
	if q.learnt || now.Sub(q.begun) < q.learnTime() {
		return !q.learnt
	}
	ample := q.look(now).ample
	q.learnt = true
	since := now.Sub(q.begun) - q.learnTime()
	for name, b := range q.buckets {
		// What was admitted before the others were heard is not known, but what they
		// say of the allowance is.
		least := 0.0
		if ample[name] {
			least = emptyLevel * b.Burst
		}
		b.level = math.Min(math.Min(b.level, least)+b.Rate*since.Seconds(), b.Burst)
	}
	return false
}

// fleet returns the number of entries. Where it is not known from elsewhere, and
// totals of others come in for the first time, it goes by the part of a round that
// has passed.
func (q *Quota) fleet(now time.Time) float64 {
	others := float64(max(len(q.peers), q.others))
	if passed := now.Sub(q.begun); q.others == 0 && passed < q.totals {
		others = math.Max(others, float64(len(q.peers))*q.totals.Seconds()/math.Max(passed.Seconds(), minHeard.Seconds()))
	}
	return others + 1
}

// takeLearning admits work of a process that does not know the others yet, from its
// equal part of the rate; where the others know the allowance not to be scarce, all
// of it.
func (q *Quota) takeLearning(now time.Time, b *bucket, customer string, work float64) (ok bool, wait time.Duration) {
	if b.part <= 0 && !q.look(now).ample[customer] {
		saved := time.Duration((work - b.part) / (b.Rate / q.fleet(now)) * float64(time.Second))
		return false, min(saved, q.learnTime()-now.Sub(q.begun))
	}
	b.part -= work
	b.total.Admitted += work
	return true, 0
}
