// Package usage counts the requests of each customer that started to run, by
// window of the corrected time of day (package truetime), and combines the
// counts of all entries. It does no I/O and reads no clock.
package usage

import (
	"maps"
	"time"
)

// keptWindows is the number of windows whose counts are kept.
const keptWindows = 6

// Counts holds the number of requests by customer.
type Counts map[string]int

// Windows holds counts by window number.
type Windows map[int64]Counts

// Counter holds this entry's counts and those received from other processes. It is
// not safe for concurrent use.
type Counter struct {
	length time.Duration
	own    Windows
	others map[string]Windows
}

// NewCounter returns an empty Counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, own: Windows{}, others: map[string]Windows{}}
}

// Window returns the number of the window that contains t, a corrected time of
// day.
func (b *Counter) Window(t time.Time) int64 { return t.UnixNano() / int64(b.length) }

// Count counts a request that started to run at t.
func (b *Counter) Count(t time.Time, customer string) {
	w := b.Window(t)
	if b.own[w] == nil {
		b.own[w] = Counts{}
		b.trim(w)
	}
	b.own[w][customer]++
}

func (b *Counter) trim(newest int64) {
	old := func(w int64, _ Counts) bool { return w <= newest-keptWindows }
	maps.DeleteFunc(b.own, old)
	for source, windows := range b.others {
		maps.DeleteFunc(windows, old)
		if len(windows) == 0 {
			delete(b.others, source)
		}
	}
}

// reportedWindows is the number of windows that are sent to other entries. The
// counts of a window are sent for as long as it is among the newest.
const reportedWindows = 3

// Newest returns a copy of this entry's counts for the newest windows.
func (b *Counter) Newest(now time.Time) Windows {
	out := make(Windows, reportedWindows)
	newest := b.Window(now)
	for w := newest; w > newest-reportedWindows; w-- {
		if c, ok := b.own[w]; ok {
			out[w] = maps.Clone(c)
		}
	}
	return out
}

// Merge merges the counts received from another process. The source identifies
// the process, not only the entry, because what an entry counted before a
// restart still counts.
func (b *Counter) Merge(source string, windows Windows) {
	if len(windows) == 0 {
		return
	}
	merged := b.others[source]
	if merged == nil {
		merged = Windows{}
		b.others[source] = merged
	}
	maps.Copy(merged, windows)
}

// Report returns the sum of all counts for a window.
func (b *Counter) Report(window int64) Counts {
	sum := Counts{}
	for name, n := range b.own[window] {
		sum[name] += n
	}
	for _, windows := range b.others {
		for name, n := range windows[window] {
			sum[name] += n
		}
	}
	return sum
}
