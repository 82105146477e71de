// Package truetime keeps an entry's idea of the time of day while its clock
// jumps. It is pure.
//
// The time of day is read once and then counted with a clock that never jumps.
// If most other entries disagree in the same way, the entry takes their median,
// so one that started while its clock was wrong is set right. Words that waited while
// the entry was frozen look late, all alike: a clock that others have agreed with is
// set only if they go on disagreeing.
package truetime

import (
	"slices"
	"time"
)

const (
	// tolerance is the disagreement that messages under way can explain.
	tolerance = 300 * time.Millisecond
	// fresh is how long another entry's word counts.
	fresh = 3 * time.Second
	// quorum is the least number of others whose word is taken.
	quorum = 2
	// settle is how long the others must disagree with a clock that they have agreed
	// with; words that have waited are read in some milliseconds.
	settle = 500 * time.Millisecond
)

type word struct {
	offset time.Duration
	at     time.Duration
}

// Clock turns readings of a steady clock into times of day.
type Clock struct {
	base  time.Time
	start time.Duration
	words map[string]word
	// agreed says that enough others have agreed with the clock, doubted since when
	// most disagree; 0 if they don't.
	agreed  bool
	doubted time.Duration
}

// New returns a clock that believes the time of day wall at the steady reading.
func New(wall time.Time, steady time.Duration) *Clock {
	return &Clock{base: wall.Round(0), start: steady, words: map[string]word{}}
}

// At returns the time of day at a steady reading.
func (c *Clock) At(steady time.Duration) time.Time { return c.base.Add(steady - c.start) }

// Hear takes another entry's time of day. It returns by how much the clock was
// set, mostly 0.
func (c *Clock) Hear(steady time.Duration, entry string, theirs time.Time) time.Duration {
	own := word{offset: theirs.Sub(c.At(steady)), at: steady}
	c.words[entry] = own
	if own.offset.Abs() <= tolerance {
		// If most disagree, one of them will say so.
		c.agreed = c.agreed || c.agreeing() >= quorum
		return 0
	}
	var offsets []time.Duration
	for name, w := range c.words {
		if steady-w.at > fresh {
			delete(c.words, name)
			continue
		}
		offsets = append(offsets, w.offset)
	}
	if len(offsets) < quorum {
		return 0
	}
	slices.Sort(offsets)
	median := offsets[len(offsets)/2]
	if median.Abs() <= tolerance {
		return 0
	}
	if c.agreed && !c.lasting(steady) {
		return 0
	}
	c.base = c.base.Add(median)
	c.doubted = 0
	clear(c.words)
	return median
}

// agreeing returns how many others agree with the clock.
func (c *Clock) agreeing() int {
	n := 0
	for _, w := range c.words {
		if w.offset.Abs() <= tolerance {
			n++
		}
	}
	return n
}

// lasting reports whether most have disagreed for long enough. Doubts that have not come
// up again for a while are over.
func (c *Clock) lasting(steady time.Duration) bool {
	if c.doubted == 0 || steady-c.doubted > fresh {
		c.doubted = steady
	}
	return steady-c.doubted >= settle
}
