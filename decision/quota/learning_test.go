package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load pattern: one process of many restarts while a customer sends six times
// its normal load. Until it knows the totals of the others it admits no more
// than its share, whether the store gives it the number of entries or it
// extrapolates the number from their messages.
func TestNewProcessKeepsToItsPart(t *testing.T) {
	const entries, length = 40, 2 * time.Second
	for name, expected := range map[string]int{"number of entries from the store": entries - 1, "number of entries from messages": 0} {
		t.Run(name, func(t *testing.T) {
			f := largeFleet(entries, rate, 1200*time.Millisecond, 2*time.Second)
			overload := func(int, time.Duration) float64 { return 6 * rate / 1.8 / entries }
			f.run(6*time.Second, overload)
			q := New()
			q.SetDelays(1200*time.Millisecond, 2*time.Second)
			q.SetPeerCount(expected)
			q.Set(f.now, customer, Allowance{Rate: rate, Burst: rate})
			f.entries[0] = q
			f.incarnations[0]++
			f.run(length, overload)
			admitted := q.Totals(f.now)[customer].Admitted
			// The last request may be larger than what was left.
			require.LessOrEqual(t, admitted, 1.5*rate*length.Seconds()/entries+maxWork)
		})
	}
}

// A new process that refuses work returns a wait that ends when it knows the
// totals of the others.
func TestNewProcessWaitEndsWithLearning(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	q.SetDelays(time.Second, time.Second)
	q.SetPeerCount(99)
	q.Set(now, customer, Allowance{Rate: 1000, Burst: 1000})
	now = now.Add(500 * time.Millisecond)
	ok, _ := q.Take(now, customer, 200, 0)
	require.True(t, ok)
	ok, wait := q.Take(now, customer, 200, 0)
	require.False(t, ok)
	require.Equal(t, 1500*time.Millisecond, wait)
}

// Load pattern: most entries are killed at the same time and restart while a
// customer stays below its rate. The entries that kept running report that its
// allowance is not scarce, so the new ones refuse next to nothing.
func TestHerdsOfRestartsRefuseNoUsualWork(t *testing.T) {
	const entries, rate = 40, 594_000
	f := largeFleet(entries, rate, 1200*time.Millisecond, 2*time.Second)
	normalLoad := func(int, time.Duration) float64 { return rate / 1.8 / entries }
	f.run(8*time.Second, normalLoad)
	asked, admitted := f.asked, f.totalAdmitted()
	for i := range f.entries {
		if i%5 < 3 {
			q := New()
			q.SetDelays(1200*time.Millisecond, 2*time.Second)
			q.SetPeerCount(entries - 1)
			q.Set(f.now, customer, Allowance{Rate: rate, Burst: rate})
			f.entries[i] = q
			f.incarnations[i]++
		}
	}
	f.run(4*time.Second, normalLoad)
	share := (f.totalAdmitted() - admitted) / (f.asked - asked)
	t.Logf("admitted part of the requested work: %.3f", share)
	require.Greater(t, share, 0.95)
}
