// Package meter computes rates from running totals that arrive at irregular
// intervals, possibly late, twice or after a restart. It does no I/O and reads
// no clock.
package meter

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of the newest interval.
	smoothing = 0.3
	// minInterval is the shortest interval from which a rate is computed.
	minInterval = 50 * time.Millisecond
	// unsmoothedInterval is the interval above which its mean says more than
	// the previous rate, and replaces it.
	unsmoothedInterval = 2 * time.Second
	// maxInterval is the interval above which the previous total is too old to
	// compare with. Entries of the largest fleets receive a total about every
	// 40 s.
	maxInterval = 90 * time.Second
)

// Meter is the smoothed rate of one running total. The zero value is ready to
// use.
type Meter struct {
	// Rate is the increase of the total per second.
	Rate float64

	total float64
	at    time.Time
}

// Observe records the value of the total at a time.
func (m *Meter) Observe(now time.Time, total float64) {
	elapsed := now.Sub(m.at)
	if m.at.IsZero() || elapsed > maxInterval || total < m.total {
		m.total, m.at = total, now
		return
	}
	if elapsed < minInterval {
		return
	}
	weight := smoothing
	if elapsed > unsmoothedInterval {
		weight = 1
	}
	m.Rate += weight * (math.Max(total-m.total, 0)/elapsed.Seconds() - m.Rate)
	m.total, m.at = total, now
}
