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
//
// A store may come back from an older copy and begin a new era. The lease in the copy may be
// one of the past, or there may be none, while the holder of the last lease before still
// holds it. No other entry therefore takes a lease in a new era before it has itself seen
// this era for the whole duration. Generations of different eras are in different ranges,
// so that none is used twice, even if no entry remembers those before.
package lease

import "time"

// firstEra is the era of a store that was never restored, or does not tell.
const firstEra = 1

// generationsPerEra is the number of generations in the range of an era. Versions of the
// object stay below it.
const generationsPerEra = 1 << 32

// Stored identifies a stored state of the lease.
type Stored struct {
	// Era counts how often the store came back from an older copy, from 1; 0 stands
	// for 1.
	Era uint64
	// Version is the version of the object in that era, or 0 if there is none.
	Version uint64
}

// generationsBefore returns the highest generation that may have been given out before this
// state was stored. After the first era it follows from the version: what was written there
// may be overwritten by a late write of an earlier era, with its lower generation.
func (s Stored) generationsBefore() uint64 {
	if s.Era <= firstEra {
		return 0
	}
	return (s.Era-firstEra)*generationsPerEra + s.Version
}

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

	// current is the last record that was seen, and stored identifies it. seenAt is when
	// this state was first seen.
	current Record
	stored  Stored
	seenAt  time.Time
	known   bool
	// highest is the highest generation that was seen.
	highest uint64

	// granted is the generation of the last lease of this entry, and grantEra the era in
	// which it was written.
	granted  uint64
	grantEra uint64

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
	case l.holds(now):
		return StepWrite
	case l.stored.Version == 0 && l.stored.Era <= firstEra, now.Sub(l.seenAt) >= l.opts.Duration:
		return StepWrite
	}
	return StepRead
}

// holds reports whether this entry has a lease that has not expired. After the store was
// restored that may be another one than the stored lease.
func (l *Lease) holds(now time.Time) bool {
	return l.granted > 0 && !l.superseded() && now.Before(l.expiresAt)
}

// Write returns the record to write and the version that it replaces; version 0
// means that the object must not exist. The caller provides a unique token.
func (l *Lease) Write(now time.Time, token string) (Record, uint64) {
	next := Record{Holder: l.self, Generation: l.granted, Token: token}
	if !l.holds(now) || l.grantEra != l.stored.Era {
		next.Generation = max(l.highest, l.stored.generationsBefore()) + 1
	}
	l.writeStarted, l.pending = now, &next
	return next, l.stored.Version
}

// Observe processes the stored record. It also determines whether a write whose answer
// was lost took effect. A record of an earlier era than another one before it is ignored.
func (l *Lease) Observe(now time.Time, rec Record, stored Stored) {
	if l.known && stored.Era < l.stored.Era {
		return
	}
	sameEra := !l.known || stored.Era == l.stored.Era
	l.see(now, rec, stored)
	if l.pending != nil && rec.Token == l.pending.Token && sameEra {
		l.extend()
	}
	l.pending = nil
}

// WriteSucceeded processes the success of the pending write. A write that took effect in a
// later era than that of the record it was to replace has replaced another one. It grants
// nothing, because the holder of that one may not have seen it.
func (l *Lease) WriteSucceeded(now time.Time, stored Stored) {
	if l.pending == nil {
		return
	}
	l.Observe(now, *l.pending, stored)
}

// see records the stored state.
func (l *Lease) see(now time.Time, rec Record, stored Stored) {
	l.highest = max(l.highest, rec.Generation)
	if !l.known || stored != l.stored {
		l.current, l.stored, l.seenAt, l.known = rec, stored, now, true
	}
}

// extend starts or extends the lease of this entry, counting from before the
// write was sent.
func (l *Lease) extend() {
	l.granted, l.grantEra = l.pending.Generation, l.stored.Era
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
	if !l.holds(now) || left < l.opts.OrderTimeout {
		return Grant{}, false
	}
	if !checked && now.Before(l.uncheckedFrom) {
		return Grant{}, false
	}
	return Grant{Generation: l.granted, Timeout: l.opts.OrderTimeout}, true
}

// superseded reports whether another entry has taken the lease since this entry had it. A
// copy from which the store was restored shows an earlier lease.
func (l *Lease) superseded() bool { return l.current.Holder != l.self && l.stored.Era == l.grantEra }
