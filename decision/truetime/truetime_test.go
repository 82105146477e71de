package truetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func TestClockGoesOnSteadily(t *testing.T) {
	c := New(noon, 10*time.Second)
	require.Equal(t, noon.Add(5*time.Second), c.At(15*time.Second))
}

// An entry that started while its clock was wrong takes the others' word.
func TestWrongStartIsSetRight(t *testing.T) {
	c := New(noon.Add(40*time.Second), 0)
	require.Zero(t, c.Hear(time.Second, "a", noon.Add(time.Second)))
	require.Equal(t, -40*time.Second, c.Hear(time.Second, "b", noon.Add(time.Second)))
	require.Equal(t, noon.Add(2*time.Second), c.At(2*time.Second))
}

// One entry with a wrong clock changes nobody else's.
func TestOneWrongEntryIsNotBelieved(t *testing.T) {
	c := New(noon, 0)
	for i := range 20 {
		s := time.Duration(i) * 100 * time.Millisecond
		for _, name := range []string{"a", "b", "c"} {
			require.Zero(t, c.Hear(s, name, noon.Add(s-5*time.Millisecond)))
		}
		require.Zero(t, c.Hear(s, "wrong", noon.Add(s+time.Hour)))
	}
}

// Words that are old don't count.
func TestOldWordsFade(t *testing.T) {
	c := New(noon, 0)
	c.Hear(0, "a", noon.Add(time.Minute))
	require.Zero(t, c.Hear(10*time.Second, "b", noon.Add(time.Minute)))
}
