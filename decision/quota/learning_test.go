package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load pattern: one process of many starts again under a customer that sends six
// times its usual. Until it knows the others it admits no more than its part,
// whether the store or only the words of the others tell it how many they are.
func TestNewProcessKeepsToItsPart(t *testing.T) {
	const entries, length = 40, 2 * time.Second
	for name, expected := range map[string]int{"told by the store": entries - 1, "told by words": 0} {
		t.Run(name, func(t *testing.T) {
			f := largeFleet(entries, rate, 1200*time.Millisecond, 2*time.Second)
			hot := func(int, time.Duration) float64 { return 6 * rate / 1.8 / entries }
			f.play(6*time.Second, hot)
			q := New()
			q.Pace(1200*time.Millisecond, 2*time.Second)
			q.Expect(expected)
			q.Set(f.now, customer, Allowance{Rate: rate, Burst: rate})
			f.entries[0] = q
			f.starts[0]++
			f.play(length, hot)
			admitted := q.Totals(f.now)[customer].Admitted
			// Its last request may be larger than what was left.
			require.LessOrEqual(t, admitted, 1.5*rate*length.Seconds()/entries+largestWork)
		})
	}
}

// A new process that refuses says to come back once it knows the others.
func TestNewProcessSaysWhenItKnows(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	q.Pace(time.Second, time.Second)
	q.Expect(99)
	q.Set(now, customer, Allowance{Rate: 1000, Burst: 1000})
	now = now.Add(500 * time.Millisecond)
	ok, _ := q.Take(now, customer, 200, 0)
	require.True(t, ok)
	ok, wait := q.Take(now, customer, 200, 0)
	require.False(t, ok)
	require.Equal(t, 1500*time.Millisecond, wait)
}

// Load pattern: most entries are killed at the same moment and start again, while a
// customer keeps to its rate. The entries that stayed say that its allowance is not
// scarce, so that the new ones refuse next to nothing.
func TestHerdsOfRestartsRefuseNoUsualWork(t *testing.T) {
	const entries, rate = 40, 594_000
	f := largeFleet(entries, rate, 1200*time.Millisecond, 2*time.Second)
	usual := func(int, time.Duration) float64 { return rate / 1.8 / entries }
	f.play(8*time.Second, usual)
	asked, admitted := f.asked, f.total()
	for i := range f.entries {
		if i%5 < 3 {
			q := New()
			q.Pace(1200*time.Millisecond, 2*time.Second)
			q.Expect(entries - 1)
			q.Set(f.now, customer, Allowance{Rate: rate, Burst: rate})
			f.entries[i] = q
			f.starts[i]++
		}
	}
	f.play(4*time.Second, usual)
	share := (f.total() - admitted) / (f.asked - asked)
	t.Logf("%.3f of what was asked is admitted", share)
	require.Greater(t, share, 0.95)
}
