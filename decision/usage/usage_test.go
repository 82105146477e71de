package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const length = 5 * time.Second

func at(window int64, offset time.Duration) time.Time {
	return time.Unix(0, window*int64(length)).Add(offset)
}

func TestWindowNumberFollowsWallClock(t *testing.T) {
	b := NewCounter(length)
	require.EqualValues(t, 100, b.Window(at(100, 0)))
	require.EqualValues(t, 100, b.Window(at(100, length-1)))
	require.EqualValues(t, 101, b.Window(at(100, length)))
}

// Counts that arrive twice, late or after a restart of their process count
// once.
func TestReportSumsAllProcesses(t *testing.T) {
	b := NewCounter(length)
	b.Count(at(100, 0), "c")
	b.Count(at(100, time.Second), "c")
	for range 3 {
		b.Merge("entry-2/first", Windows{100: {"c": 3, "d": 1}})
	}
	b.Merge("entry-2/first", Windows{100: {"c": 4, "d": 1}, 101: {"c": 1}})
	b.Merge("entry-2/second", Windows{100: {"c": 2}})
	require.Equal(t, Counts{"c": 8, "d": 1}, b.Report(100))
	require.Equal(t, Counts{"c": 1}, b.Report(101))
}

func TestOldWindowsAreNeitherReportedNorKept(t *testing.T) {
	b := NewCounter(length)
	for w := int64(100); w < 120; w++ {
		b.Count(at(w, 0), "c")
	}
	reported := b.Newest(at(119, time.Second))
	require.Len(t, reported, 3)
	for w := int64(117); w < 120; w++ {
		require.Contains(t, reported, w)
	}
	require.Len(t, b.own, keptWindows)
	// The result is a copy.
	reported[119]["c"] = 50
	require.Equal(t, 1, b.Report(119)["c"])
}

// Guards against growth of memory: each restart of an entry adds a process with
// a new name.
func TestProcessesWithOnlyOldWindowsAreDropped(t *testing.T) {
	b := NewCounter(length)
	for w := int64(100); w < 200; w++ {
		b.Count(at(w, 0), "c")
		b.Merge("entry-2/"+at(w, 0).String(), Windows{w: {"c": 1}})
	}
	require.LessOrEqual(t, len(b.others), keptWindows+1)
	require.Equal(t, Counts{"c": 2}, b.Report(199))
}
