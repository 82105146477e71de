// Package lease decides who may give orders. It is pure: it does no I/O and
// reads no clock; times are those of the caller's monotonic clock.
//
// The lease is one object of the platform that its holder renews by conditional
// update. Clocks of different hosts are never compared: a holder counts from
// before it sent its last renewal; any other entry takes the lease over once it
// has itself seen the object unchanged for the lease's whole duration. So the
// holder's time is over before another's begins, unless it is paused between its
// last look at the clock and its order. For that case each order carries the
// generation, which rises with each holder, as its fencing number; and a new
// holder waits for the deadline of the last possible order before its first
// order to an engine that doesn't check fencing numbers.
package lease

import "time"

// Record is the stored form of the lease.
type Record struct {
	Holder string `json:"holder"`
	// Generation is the fencing number; it rises with each holder.
	Generation uint64 `json:"generation"`
	// Token is new in each write; it settles whether a write whose answer was
	// lost took effect.
	Token string `json:"token"`
}

// Options are the times of a lease.
type Options struct {
	// Duration is how long the lease holds after a renewal.
	Duration time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
}

// renewals is how many renewals fit into a lease's duration.
const renewals = 3

// Lease is one entry's view of the lease. It is not safe for concurrent use.
type Lease struct {
	self string
	opts Options

	// current is the record as seen last, version 0 if there is none; seen
	// is when this version was first seen.
	current Record
	version uint64
	seen    time.Time
	known   bool

	// until is the end of this entry's own lease; quietUntil is when it may
	// order engines that don't check fencing numbers.
	until      time.Time
	quietUntil time.Time
	// started is when the write under way was begun, pending its content.
	started time.Time
	pending *Record
}

// New returns a lease that the entry does not hold.
func New(self string, opts Options) *Lease { return &Lease{self: self, opts: opts} }

// Interval is the time between two calls of Next.
func (l *Lease) Interval() time.Duration { return l.opts.Duration / renewals }

// Step is what to do next.
type Step int

// The steps.
const (
	// StepRead asks for a read of the object, passed in as Observe.
	StepRead Step = iota
	// StepWrite asks for a conditional write of Write's result.
	StepWrite
)

// Next says what to do now: the holder renews, a candidate reads, and takes the
// lease over once it has lapsed.
func (l *Lease) Next(now time.Time) Step {
	switch {
	case !l.known || l.pending != nil:
		return StepRead
	case l.current.Holder == l.self && now.Before(l.until):
		return StepWrite
	case l.version == 0 || now.Sub(l.seen) >= l.opts.Duration:
		return StepWrite
	}
	return StepRead
}

// Write returns the record to write and the version that it replaces; 0 means
// that it must not exist. The caller draws the token.
func (l *Lease) Write(now time.Time, token string) (Record, uint64) {
	next := Record{Holder: l.self, Generation: l.current.Generation, Token: token}
	if l.current.Holder != l.self || !now.Before(l.until) {
		next.Generation++
	}
	l.started, l.pending = now, &next
	return next, l.version
}

// Observe takes the record as it is stored; version 0 means that there is none.
// It also settles a write whose answer was lost.
func (l *Lease) Observe(now time.Time, rec Record, version uint64) {
	if !l.known || version != l.version {
		l.current, l.version, l.seen, l.known = rec, version, now, true
	}
	if l.pending != nil && rec.Token == l.pending.Token {
		l.won()
	}
	l.pending = nil
}

// Written takes the success of the write.
func (l *Lease) Written(now time.Time, version uint64) {
	if l.pending == nil {
		return
	}
	l.current, l.version, l.seen, l.known = *l.pending, version, now, true
	l.won()
	l.pending = nil
}

// won begins or prolongs this entry's lease, from before the write was sent.
func (l *Lease) won() {
	if !l.started.Before(l.until) {
		l.quietUntil = l.started.Add(l.opts.OrderTimeout)
	}
	l.until = l.started.Add(l.opts.Duration)
}

// Holder returns who holds the lease as far as this entry knows.
func (l *Lease) Holder() (string, uint64) { return l.current.Holder, l.current.Generation }

// Grant is the permission for one order.
type Grant struct {
	// Generation is the order's fencing number.
	Generation uint64
	// Timeout bounds the order; it ends inside the lease.
	Timeout time.Duration
}

// MayOrder is asked just before each order. Checked says that the engine
// refuses orders with an old fencing number.
func (l *Lease) MayOrder(now time.Time, checked bool) (Grant, bool) {
	left := l.until.Sub(now)
	if l.current.Holder != l.self || left < l.opts.OrderTimeout {
		return Grant{}, false
	}
	if !checked && now.Before(l.quietUntil) {
		return Grant{}, false
	}
	return Grant{Generation: l.current.Generation, Timeout: l.opts.OrderTimeout}, true
}
