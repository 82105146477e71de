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
}

func (s *store) write(rec Record, version uint64) bool {
	if s.version != version {
		return false
	}
	s.rec, s.version = rec, s.version+1
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
		c.Observe(now, s.rec, s.version)
		return
	}
	c.tokens++
	rec, version := c.Write(now, fmt.Sprint(c.self, c.tokens))
	ok := s.write(rec, version)
	switch {
	case lost:
	case ok:
		c.WriteSucceeded(now, s.version)
	default:
		c.Observe(now, s.rec, s.version)
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
		for i := 1; i < len(orders); i++ {
			before, after := orders[i-1], orders[i]
			require.LessOrEqual(t, before.generation, after.generation)
			if before.who != after.who {
				require.Less(t, before.generation, after.generation)
				require.False(t, after.from.Before(before.to), "%+v overlaps %+v", before, after)
			}
		}
	})
}
