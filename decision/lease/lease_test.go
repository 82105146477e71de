package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

var (
	start   = time.Unix(1000, 0)
	options = Options{Duration: 9 * time.Second, OrderTimeout: time.Second}
)

// store models the lease object in the platform's store.
type store struct {
	rec     Record
	version uint64
	// revision counts all changes in the store, and era its restores.
	revision, era uint64
}

func (s *store) stored() Stored { return Stored{s.era, s.version} }

// restore brings the store back from an older copy.
func (s *store) restore(older store) {
	s.rec, s.version, s.revision, s.era = older.rec, older.version, older.revision, s.era+1
}

func (s *store) write(rec Record, version uint64) bool {
	if s.version != version {
		return false
	}
	s.revision++
	s.rec, s.version = rec, s.revision
	return true
}

// candidate is an entry. Its clock continues while it is paused.
type candidate struct {
	*Lease
	paused bool
	tokens int
}

// step performs the next step of the protocol. If the answer to a write is
// lost, the candidate does not learn whether it took effect.
func (c *candidate) step(s *store, now time.Time, lost bool) {
	if c.Next(now) == StepRead {
		c.Observe(now, s.rec, s.stored())
		return
	}
	c.tokens++
	rec, version := c.Write(now, fmt.Sprint(c.self, c.tokens))
	ok := s.write(rec, version)
	switch {
	case lost:
	case ok:
		c.WriteSucceeded(now, s.stored())
	default:
		c.Observe(now, s.rec, s.stored())
	}
}

func TestHolderThatIsPausedPastItsLeaseGivesNoOrder(t *testing.T) {
	s := &store{}
	a, b := &candidate{Lease: New("a", options)}, &candidate{Lease: New("b", options)}
	a.step(s, start, false)
	a.step(s, start, false)
	_, ok := a.MayOrder(start, true)
	require.True(t, ok)
	now := start
	for b.step(s, now, false); s.rec.Holder == "a"; b.step(s, now, false) {
		now = now.Add(b.Interval())
	}
	g, ok := b.MayOrder(now, true)
	require.True(t, ok, "a did not renew for the whole duration")
	require.Equal(t, uint64(2), g.Generation)
	_, ok = a.MayOrder(now, true)
	require.False(t, ok, "a resumes after its lease expired")
	_, ok = b.MayOrder(now, false)
	require.False(t, ok, "an order of a may still be under way")
	_, ok = b.MayOrder(now.Add(options.OrderTimeout), false)
	require.True(t, ok)
}

func TestLostWriteAnswerIsResolvedByRead(t *testing.T) {
	s := &store{}
	a := &candidate{Lease: New("a", options)}
	a.step(s, start, false)
	a.step(s, start, true)
	_, ok := a.MayOrder(start, true)
	require.False(t, ok, "a does not know yet whether its write took effect")
	a.step(s, start.Add(time.Second), false)
	_, ok = a.MayOrder(start.Add(time.Second), true)
	require.True(t, ok)
	_, ok = a.MayOrder(start.Add(options.Duration), true)
	require.False(t, ok, "the lease counts from before the write")
}

func TestOrderEndsInsideTheLease(t *testing.T) {
	s := &store{}
	a := &candidate{Lease: New("a", options)}
	a.step(s, start, false)
	a.step(s, start, false)
	_, ok := a.MayOrder(start.Add(options.Duration-options.OrderTimeout), true)
	require.True(t, ok)
	_, ok = a.MayOrder(start.Add(options.Duration-options.OrderTimeout+1), true)
	require.False(t, ok)
}

// window is the time during which an order may take effect.
type window struct {
	who        string
	generation uint64
	from, to   time.Time
}

// Orders of different holders never overlap, and generations never decrease,
// whichever entries are paused, cut off or lose answers.
func TestOrdersOfDifferentHoldersNeverOverlap(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		s := &store{}
		var all []*candidate
		for _, name := range []string{"a", "b", "c"} {
			all = append(all, &candidate{Lease: New(name, options)})
		}
		now := start
		var orders []window
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			c := all[rapid.IntRange(0, 2).Draw(t, "entry")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				c.paused = !c.paused
			case 1:
				if !c.paused {
					c.step(s, now, true)
				}
			case 2, 3:
				if !c.paused {
					c.step(s, now, false)
				}
			default:
				if g, ok := c.MayOrder(now, false); ok && !c.paused {
					orders = append(orders, window{c.self, g.Generation, now, now.Add(g.Timeout)})
				}
			}
		}
		requireSeparateOrders(t, orders)
	})
}

// requireSeparateOrders checks that orders of different holders don't overlap and that
// generations never decrease or meet.
func requireSeparateOrders(t require.TestingT, orders []window) {
	for i := 1; i < len(orders); i++ {
		before, after := orders[i-1], orders[i]
		require.LessOrEqual(t, before.generation, after.generation)
		if before.who != after.who {
			require.Less(t, before.generation, after.generation)
			require.False(t, after.from.Before(before.to), "%+v overlaps %+v", before, after)
		}
	}
}

// lateWrite is a write without an answer that the store may execute later, if its condition
// still holds.
type lateWrite struct {
	rec     Record
	version uint64
}

// The store comes back from older copies, in series, with writes of earlier eras executed
// late, while entries are paused, restarted and lose answers.
func TestOrdersOfDifferentHoldersNeverOverlapAfterRestores(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		s := &store{era: 1}
		copies := []store{*s}
		names := []string{"a", "b", "c"}
		var all []*candidate
		for _, name := range names {
			all = append(all, &candidate{Lease: New(name, options)})
		}
		now, tokens := start, 0
		var orders []window
		var late []lateWrite
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 2).Draw(t, "entry")
			c := all[i]
			switch what := rapid.IntRange(0, 23).Draw(t, "what"); what {
			case 0:
				c.paused = !c.paused
			case 1:
				if !c.paused {
					c.step(s, now, true)
				}
			case 2:
				if !c.paused && c.Next(now) == StepWrite {
					tokens++
					rec, version := c.Write(now, fmt.Sprint("late", tokens))
					late = append(late, lateWrite{rec, version})
				}
			case 3:
				if len(late) > 0 {
					s.write(late[0].rec, late[0].version)
					late = late[1:]
				}
			case 4:
				copies = append(copies, *s)
			case 5:
				s.restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				copies = []store{*s}
			case 6:
				all[i] = &candidate{Lease: New(names[i], options), tokens: c.tokens}
			case 7:
				// Another object changes.
				s.revision++
			case 8, 9, 10, 11, 12, 13, 14, 15, 16:
				if !c.paused {
					c.step(s, now, false)
				}
			default:
				if g, ok := c.MayOrder(now, false); ok && !c.paused {
					orders = append(orders, window{c.self, g.Generation, now, now.Add(g.Timeout)})
				}
			}
		}
		requireSeparateOrders(t, orders)
	})
}

// The holder goes on when the store is restored, with a generation of the new era.
func TestHolderKeepsItsLeaseAcrossARestore(t *testing.T) {
	s := &store{era: 1}
	older := *s
	a := &candidate{Lease: New("a", options)}
	a.step(s, start, false)
	a.step(s, start, false)
	first, ok := a.MayOrder(start, true)
	require.True(t, ok)
	s.restore(older)
	b := &candidate{Lease: New("b", options)}
	now := start.Add(time.Second)
	b.step(s, now, false)
	require.Equal(t, StepRead, b.Next(now), "a holds a lease that is not in the copy")
	a.step(s, now, false)
	a.step(s, now, false)
	second, ok := a.MayOrder(now, true)
	require.True(t, ok)
	require.Greater(t, second.Generation, first.Generation)
	require.Equal(t, second.Generation, s.rec.Generation)
}

// A write that was meant to replace a record of an earlier era may replace another holder's.
func TestWriteThatTookEffectAfterARestoreGrantsNothing(t *testing.T) {
	a := New("a", options)
	a.Observe(start, Record{}, Stored{1, 0})
	rec, _ := a.Write(start, "t1")
	a.WriteSucceeded(start, Stored{2, 1})
	_, ok := a.MayOrder(start, true)
	require.False(t, ok)
	a.Observe(start, rec, Stored{2, 1})
	_, ok = a.MayOrder(start, true)
	require.False(t, ok)
	// It is another entry's turn only after the duration, and so is this one's.
	require.Equal(t, StepRead, a.Next(start.Add(options.Duration-1)))
	require.Equal(t, StepWrite, a.Next(start.Add(options.Duration)))
}

func TestRecordOfAnEarlierEraIsIgnored(t *testing.T) {
	a := New("a", options)
	a.Observe(start, Record{Holder: "b", Generation: 3}, Stored{2, 7})
	a.Observe(start, Record{Holder: "c", Generation: 9}, Stored{1, 90})
	holder, generation := a.Holder()
	require.Equal(t, "b", holder)
	require.Equal(t, uint64(3), generation)
}
