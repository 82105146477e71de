// Package truetime keeps an entry's time of day correct while the clock of its
// host jumps. It does no I/O and reads no clock.
//
// The time of day is read once at the start, and then advances with a steady
// clock that never jumps. If most other entries disagree with it in the same
// way, the entry adopts their median. This corrects an entry that started while
// its clock was wrong.
//
// Messages that waited while the process was frozen make all other entries
// appear late by the same amount. A clock that other entries have confirmed is
// therefore set only if the disagreement lasts.
package truetime

import (
	"slices"
	"time"
)

const (
	// tolerance is the largest difference that message delays can explain.
	tolerance = 300 * time.Millisecond
	// sampleLifetime is how long the sample of another entry is used.
	sampleLifetime = 3 * time.Second
	// quorum is the minimum number of other entries whose samples are needed.
	quorum = 2
	// minDisagreement is how long other entries must disagree with a clock that
	// they have confirmed. Messages that waited while the process was frozen
	// are all read within a few milliseconds.
	minDisagreement = 500 * time.Millisecond
)

type sample struct {
	offset time.Duration
	at     time.Duration
}

// Clock converts readings of a steady clock to the time of day.
type Clock struct {
	base    time.Time
	start   time.Duration
	samples map[string]sample
	// confirmed is set once a quorum of other entries has agreed with the
	// clock. disagreeSince is when most of them began to disagree, or 0.
	confirmed     bool
	disagreeSince time.Duration
}

// New returns a clock whose time of day is wall at the given reading of the
// steady clock.
func New(wall time.Time, steady time.Duration) *Clock {
	return &Clock{base: wall.Round(0), start: steady, samples: map[string]sample{}}
}

// At returns the time of day at a reading of the steady clock.
func (c *Clock) At(steady time.Duration) time.Time { return c.base.Add(steady - c.start) }

// AddSample processes the time of day that another entry sent. It returns by how
// much the clock was set, which is usually 0.
func (c *Clock) AddSample(steady time.Duration, entry string, theirs time.Time) time.Duration {
	received := sample{offset: theirs.Sub(c.At(steady)), at: steady}
	c.samples[entry] = received
	if received.offset.Abs() <= tolerance {
		// Nothing else to do: if most entries disagree, a sample of one of them
		// sets the clock.
		c.confirmed = c.confirmed || c.countAgreeing() >= quorum
		return 0
	}
	var offsets []time.Duration
	for name, s := range c.samples {
		if steady-s.at > sampleLifetime {
			delete(c.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) < quorum {
		return 0
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if median.Abs() <= tolerance {
		return 0
	}
	if c.confirmed && !c.disagreementLasts(steady) {
		return 0
	}
	c.base = c.base.Add(median)
	c.disagreeSince = 0
	clear(c.samples)
	return median
}

// countAgreeing returns the number of other entries that agree with the clock.
func (c *Clock) countAgreeing() int {
	n := 0
	for _, s := range c.samples {
		if s.offset.Abs() <= tolerance {
			n++
		}
	}
	return n
}

// disagreementLasts reports whether most entries have disagreed for
// minDisagreement. A disagreement that began more than sampleLifetime ago is
// not continued; a new one starts.
func (c *Clock) disagreementLasts(steady time.Duration) bool {
	if c.disagreeSince == 0 || steady-c.disagreeSince > sampleLifetime {
		c.disagreeSince = steady
	}
	return steady-c.disagreeSince >= minDisagreement
}
