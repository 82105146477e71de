// Package lease decides which entry may give orders: commands, such as loading
// a model on an engine, that only one entry at a time may give. It does no I/O
// and reads no clock; all times are from the caller's monotonic clock.
//
// The lease is an object in the platform's store that its holder renews with
// conditional updates. Clocks of different hosts are never compared. The holder
// counts the lease's duration from before it sent its last renewal. Any other
// entry takes the lease over once it has itself seen the object unchanged for
// the whole duration. The lease of the old holder has then expired.
//
// A holder that is paused between checking its lease and sending an order could
// still send it too late. Therefore each order carries the lease's generation,
// which increases with each holder, as a fencing token. For engines that don't
// check fencing tokens, a new holder waits until the last possible order of its
// predecessor has timed out.
package lease

import "time"

// Record is the stored form of the lease.
type Record struct {
	Holder string `json:"holder"`
	// Generation is the fencing token; it increases with each holder.
	Generation uint64 `json:"generation"`
	// Token is unique to each write. It shows whether a write whose answer was
	// lost took effect.
	Token string `json:"token"`
}

// Options are the durations of a lease.
type Options struct {
	// Duration is how long the lease is valid after a renewal.
	Duration time.Duration
	// OrderTimeout is the timeout of an order.
	OrderTimeout time.Duration
}

// renewalsPerLease is the number of renewals during a lease's duration.
const renewalsPerLease = 3

// Lease is the state of the lease as one entry sees it. It is not safe for
// concurrent use.
type Lease struct {
	self string
	opts Options

	// current is the last record that was seen, and version its version, or 0
	// if there is none. seenAt is when this version was first seen.
	current Record
	version uint64
	seenAt  time.Time
	known   bool

	// expiresAt is when the lease of this entry expires. uncheckedFrom is when
	// this entry may start to order engines that don't check fencing tokens.
	expiresAt     time.Time
	uncheckedFrom time.Time
	// writeStarted is when the pending write began, and pending the record that
	// it writes.
	writeStarted time.Time
	pending      *Record
}

// New returns the state of an entry that does not hold the lease.
func New(self string, opts Options) *Lease { return &Lease{self: self, opts: opts} }

// Interval returns the time between two calls of Next.
func (l *Lease) Interval() time.Duration { return l.opts.Duration / renewalsPerLease }

// Step is the next step of the protocol.
type Step int

// Steps.
const (
	// StepRead means that the object should be read and passed to Observe.
	StepRead Step = iota
	// StepWrite means that the result of Write should be written conditionally.
	StepWrite
)

// Next returns the next step. The holder renews the lease. Other entries read
// it, and take it over once it has expired.
func (l *Lease) Next(now time.Time) Step {
	switch {
	case !l.known || l.pending != nil:
		return StepRead
	case l.current.Holder == l.self && now.Before(l.expiresAt):
		return StepWrite
	case l.version == 0 || now.Sub(l.seenAt) >= l.opts.Duration:
		return StepWrite
	}
	return StepRead
}

// Write returns the record to write and the version that it replaces; version 0
// means that the object must not exist. The caller provides a unique token.
func (l *Lease) Write(now time.Time, token string) (Record, uint64) {
	next := Record{Holder: l.self, Generation: l.current.Generation, Token: token}
	if l.current.Holder != l.self || !now.Before(l.expiresAt) {
		next.Generation++
	}
	l.writeStarted, l.pending = now, &next
	return next, l.version
}

// Observe processes the stored record; version 0 means that there is none. It
// also determines whether a write whose answer was lost took effect.
func (l *Lease) Observe(now time.Time, rec Record, version uint64) {
	if !l.known || version != l.version {
		l.current, l.version, l.seenAt, l.known = rec, version, now, true
	}
	if l.pending != nil && rec.Token == l.pending.Token {
		l.extend()
	}
	l.pending = nil
}

// WriteSucceeded processes the success of the pending write.
func (l *Lease) WriteSucceeded(now time.Time, version uint64) {
	if l.pending == nil {
		return
	}
	l.current, l.version, l.seenAt, l.known = *l.pending, version, now, true
	l.extend()
	l.pending = nil
}

// extend starts or extends the lease of this entry, counting from before the
// write was sent.
func (l *Lease) extend() {
	if !l.writeStarted.Before(l.expiresAt) {
		l.uncheckedFrom = l.writeStarted.Add(l.opts.OrderTimeout)
	}
	l.expiresAt = l.writeStarted.Add(l.opts.Duration)
}

// Holder returns the holder of the lease and the generation, as last seen by
// this entry.
func (l *Lease) Holder() (string, uint64) { return l.current.Holder, l.current.Generation }

// Grant is the permission to give one order.
type Grant struct {
	// Generation is the fencing token of the order.
	Generation uint64
	// Timeout is the timeout of the order, which ends before the lease expires.
	Timeout time.Duration
}

// MayOrder returns the permission to give an order, if this entry has it. It
// must be called immediately before each order. Checked says whether the engine
// refuses orders with an old fencing token.
func (l *Lease) MayOrder(now time.Time, checked bool) (Grant, bool) {
	left := l.expiresAt.Sub(now)
	if l.current.Holder != l.self || left < l.opts.OrderTimeout {
		return Grant{}, false
	}
	if !checked && now.Before(l.uncheckedFrom) {
		return Grant{}, false
	}
	return Grant{Generation: l.current.Generation, Timeout: l.opts.OrderTimeout}, true
}
