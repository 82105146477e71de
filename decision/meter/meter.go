// Package meter works out rates from running totals that arrive now and then,
// possibly late, twice or after a restart. It is pure.
package meter

import (
	"math"
	"time"
)

const (
	// step is the weight of the newest interval.
	step = 0.3
	// minInterval bounds the interval that a rate is worked out over.
	minInterval = 50 * time.Millisecond
	// longInterval is the interval from which on its mean says more than what was
	// known before.
	longInterval = 2 * time.Second
	// maxInterval is when what was known is too old to compare with; entries of
	// the largest fleets hear a total every 40 s or so.
	maxInterval = 90 * time.Second
)

// Meter is the smoothed rate of one total. The zero value is ready.
type Meter struct {
	// Rate is in units of the total per second.
	Rate float64

	seen float64
	at   time.Time
}

// See takes the total at a moment.
func (m *Meter) See(now time.Time, total float64) {
	passed := now.Sub(m.at)
	if m.at.IsZero() || passed > maxInterval || total < m.seen {
		m.seen, m.at = total, now
		return
	}
	if passed < minInterval {
		return
	}
	weight := step
	if passed > longInterval {
		weight = 1
	}
	m.Rate += weight * (math.Max(total-m.seen, 0)/passed.Seconds() - m.Rate)
	m.seen, m.at = total, now
}
