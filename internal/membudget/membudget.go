// Package membudget bounds the memory that the bodies of requests and answers take in a
// process, so that many large ones can't exhaust it.
package membudget

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrFull means that a body does not fit into what is left of a budget.
var ErrFull = errors.New("memory budget used up")

// Budget is an amount of memory in bytes that several bodies share. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// take takes bytes from the budget if so many are left. If not, it returns bytes that its
// caller holds: in one step, so that of several callers at the same time not all fail.
func (b *Budget) take(n, returned int64) bool {
	for {
		used := b.used.Load()
		fits := used+n <= b.limit
		next := used + n
		if !fits {
			next = used - returned
		}
		if b.used.CompareAndSwap(used, next) {
			return fits
		}
	}
}

// FreeBytes is the size up to which a buffer takes nothing from its budget, so that small
// bodies are read whatever large ones take.
const FreeBytes = 8 << 10

// Buffer holds one body. It must be released.
type Buffer struct {
	budget *Budget
	data   []byte
	taken  int64
}

// NewBuffer returns an empty buffer.
func (b *Budget) NewBuffer() *Buffer { return &Buffer{budget: b} }

// Bytes returns what was read. It is valid until Release.
func (b *Buffer) Bytes() []byte { return b.data }

// Release returns what the buffer took from its budget.
func (b *Buffer) Release() {
	b.budget.used.Add(-b.taken)
	b.taken, b.data = 0, nil
}

// ReadFrom reads to the end of r. It stops with ErrFull if the budget has no room for more;
// what was read by then is kept.
func (b *Buffer) ReadFrom(r io.Reader) (int64, error) { return b.read(r, false) }

// ReadAll reads to the end of r. If the budget has no room for all of it, it returns ErrFull and
// what was read by then is released for others.
func (b *Buffer) ReadAll(r io.Reader) error {
	_, err := b.read(r, true)
	return err
}

func (b *Buffer) read(r io.Reader, releaseWhenFull bool) (int64, error) {
	begin := len(b.data)
	for {
		if len(b.data) == cap(b.data) && !b.grow(releaseWhenFull) {
			return int64(len(b.data) - begin), ErrFull
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return int64(len(b.data) - begin), err
		}
	}
}

// Append adds data, or returns ErrFull if the budget has no room for it.
func (b *Buffer) Append(data []byte) error {
	for cap(b.data)-len(b.data) < len(data) {
		if !b.grow(false) {
			return ErrFull
		}
	}
	b.data = append(b.data, data...)
	return nil
}

// Reset empties the buffer and keeps its memory.
func (b *Buffer) Reset() { b.data = b.data[:0] }

// firstSize is the size of a buffer at its first read, in bytes.
const firstSize = 1 << 10

// grow doubles the buffer if the budget has room for that.
func (b *Buffer) grow(releaseWhenFull bool) bool {
	size := max(2*cap(b.data), firstSize)
	if more := int64(size) - FreeBytes - b.taken; more > 0 {
		returned := int64(0)
		if releaseWhenFull {
			returned = b.taken
		}
		if !b.budget.take(more, returned) {
			if releaseWhenFull {
				b.taken, b.data = 0, nil
			}
			return false
		}
		b.taken += more
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	return true
}
