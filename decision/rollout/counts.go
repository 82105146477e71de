package rollout

import (
	"math"
	"time"
)

// Key identifies the requests of one version on one route.
type Key struct{ Version, Route string }

// Measures of latency. Each has Buckets entries of Counts.Slow.
const (
	// FirstEvent is the time to the first event of a stream, or to the whole of
	// another answer.
	FirstEvent = iota
	// Pause is the longest time between two events of a stream.
	Pause
	measures
)

const (
	// Buckets is the number of latency buckets of a measure. Each is wider than the one
	// before by the factor sqrt(2), so that the last one begins at 16 s.
	Buckets = 24
	// firstBucket is the upper limit of the first bucket. Below it, differences are
	// noise of the network and of the host.
	firstBucket = 8 * time.Millisecond
	// N is the number of entries of Counts.Slow.
	N = measures * Buckets
)

// Counts holds what one entry has counted since its start for one Key. All numbers only
// grow while the process of the entry runs.
type Counts struct {
	// Requests is the number of attempts that were sent.
	Requests int
	// Failures is the number of attempts that failed or broke.
	Failures int
	// Slow counts answers by latency: Buckets entries for each measure.
	Slow [N]int
}

// Add counts an answer with a latency.
func (c *Counts) Add(measure int, took time.Duration) { c.Slow[measure*Buckets+bucketOf(took)]++ }

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d < firstBucket {
		return 0
	}
	return min(1+int(2*math.Log2(float64(d)/float64(firstBucket))), Buckets-1)
}

// histogram returns the buckets of a measure.
func (c *Counts) histogram(measure int) []int {
	return c.Slow[measure*Buckets : (measure+1)*Buckets]
}

// answers returns the number of answers of which a measure is known.
func (c *Counts) answers(measure int) int { return sum(c.histogram(measure)) }

// outcomes returns the number of attempts that have ended or begun to answer.
func (c *Counts) outcomes() int { return c.Failures + c.answers(FirstEvent) }

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Failures += o.Failures
	for i, n := range o.Slow {
		c.Slow[i] += n
	}
}

// growth returns by how much counts have grown, and what is known after it. Lower numbers
// come from reordered messages and are ignored. A report that claims more than
// maxGrowth requests, or more outcomes than requests, is false and adds nothing.
func growth(known, next Counts) (added, after Counts) {
	after = known
	field := func(known, next int, added, after *int) {
		if next > known {
			*added, *after = next-known, next
		}
	}
	field(known.Requests, next.Requests, &added.Requests, &after.Requests)
	field(known.Failures, next.Failures, &added.Failures, &after.Failures)
	for i := range next.Slow {
		field(known.Slow[i], next.Slow[i], &added.Slow[i], &after.Slow[i])
	}
	isFalse := added.Requests > maxGrowth || after.Requests < 0 || after.Failures > after.Requests
	for m := range measures {
		isFalse = isFalse || after.answers(m) > after.Requests
	}
	if isFalse {
		return Counts{}, known
	}
	return added, after
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}
