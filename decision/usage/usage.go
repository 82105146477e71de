// Package usage counts the requests of each customer that began to run, by
// window of true time, and puts together what all entries have counted. It is
// pure.
package usage

import (
	"maps"
	"time"
)

// kept is the number of windows that are remembered.
const kept = 6

// Counts are requests by customer.
type Counts map[string]int

// Windows are counts by window number.
type Windows map[int64]Counts

// Book holds this entry's counts and those that others have told. It is not safe
// for concurrent use.
type Book struct {
	length time.Duration
	own    Windows
	others map[string]Windows
}

// NewBook returns an empty book for windows of the given length.
func NewBook(length time.Duration) *Book {
	return &Book{length: length, own: Windows{}, others: map[string]Windows{}}
}

// Window returns the number of the window that a moment of true time lies in.
func (b *Book) Window(t time.Time) int64 { return t.UnixNano() / int64(b.length) }

// Count counts a request that began to run.
func (b *Book) Count(t time.Time, customer string) {
	w := b.Window(t)
	if b.own[w] == nil {
		b.own[w] = Counts{}
		b.trim(w)
	}
	b.own[w][customer]++
}

func (b *Book) trim(newest int64) {
	old := func(w int64, _ Counts) bool { return w <= newest-kept }
	maps.DeleteFunc(b.own, old)
	for source, windows := range b.others {
		maps.DeleteFunc(windows, old)
		if len(windows) == 0 {
			delete(b.others, source)
		}
	}
}

// told is the number of windows that are told to others; a window is told for
// as long as it is one of the newest.
const told = 3

// Newest returns a copy of this entry's counts of the newest windows.
func (b *Book) Newest(now time.Time) Windows {
	out := make(Windows, told)
	newest := b.Window(now)
	for w := newest; w > newest-told; w-- {
		if c, ok := b.own[w]; ok {
			out[w] = maps.Clone(c)
		}
	}
	return out
}

// Hear takes another process's counts. Source names the process and not only
// the entry: what an entry counted before a restart still counts.
func (b *Book) Hear(source string, windows Windows) {
	if len(windows) == 0 {
		return
	}
	known := b.others[source]
	if known == nil {
		known = Windows{}
		b.others[source] = known
	}
	maps.Copy(known, windows)
}

// Report sums up a window.
func (b *Book) Report(window int64) Counts {
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
