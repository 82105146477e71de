package truetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestClockAdvancesWithSteadyClock(t *testing.T) {
	c := New(noon, 10*time.Second)
	require.Equal(t, noon.Add(5*time.Second), c.At(15*time.Second))
}

// An entry that started while its clock was wrong adopts the time of the
// others.
func TestWrongStartIsSetRight(t *testing.T) {
	c := New(noon.Add(40*time.Second), 0)
	require.Zero(t, c.AddSample(time.Second, "a", noon.Add(time.Second)))
	require.Equal(t, -40*time.Second, c.AddSample(time.Second, "b", noon.Add(time.Second)))
	require.Equal(t, noon.Add(2*time.Second), c.At(2*time.Second))
}

// An entry with a wrong clock does not change the clocks of the others.
func TestOneWrongEntryIsNotBelieved(t *testing.T) {
	c := New(noon, 0)
	for i := range 20 {
		s := time.Duration(i) * 100 * time.Millisecond
		for _, name := range []string{"a", "b", "c"} {
			require.Zero(t, c.AddSample(s, name, noon.Add(s-5*time.Millisecond)))
		}
		require.Zero(t, c.AddSample(s, "wrong", noon.Add(s+time.Hour)))
	}
}

// Samples older than sampleLifetime are ignored.
func TestExpiredSamplesAreIgnored(t *testing.T) {
	c := New(noon, 0)
	c.AddSample(0, "a", noon.Add(time.Minute))
	require.Zero(t, c.AddSample(10*time.Second, "b", noon.Add(time.Minute)))
}

// When a process resumes after being frozen, its socket holds the messages of
// the last seven seconds. They make all other entries appear late, and must not
// set the clock back.
func TestWordsThatWaitedForAFrozenEntrySetItsClockBack(t *testing.T) {
	const frozen, pace = 7 * time.Second, 200 * time.Millisecond
	names := []string{"a", "b", "c", "d"}
	for _, freezes := range []int{1, 3} {
		c := New(noon, 0)
		now := time.Duration(0)
		for range freezes {
			for range 20 {
				now += pace
				for _, name := range names {
					require.Zero(t, c.AddSample(now, name, noon.Add(now)))
				}
			}
			for waited := frozen; waited > 0; waited -= pace {
				for _, name := range names {
					require.Zero(t, c.AddSample(now+frozen, name, noon.Add(now+frozen-waited)))
				}
			}
			now += frozen
			require.Equal(t, noon.Add(now), c.At(now))
		}
	}
}

// A clock that was confirmed is still corrected if the other entries keep
// disagreeing with it.
func TestLastingDisagreementCorrectsClock(t *testing.T) {
	c := New(noon, 0)
	hear := func(at, off time.Duration) (set time.Duration) {
		for _, name := range []string{"a", "b", "c"} {
			set += c.AddSample(at, name, noon.Add(at+off))
		}
		return set
	}
	require.Zero(t, hear(time.Second, 0))
	set := time.Duration(0)
	for at := 2 * time.Second; at < 4*time.Second; at += 200 * time.Millisecond {
		set += hear(at, 40*time.Second-set)
		if set != 0 {
			break
		}
	}
	require.Equal(t, 40*time.Second, set)
}
