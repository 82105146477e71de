package upstreamlimit

import (
	"math"
	"time"

	"jaylink/decision/rendezvous"
)

const (
	// permitLifetime is the lifetime of a permit, or the interval between two permits
	// if that is longer. With it, the fleet sends at most 5 seconds' worth of a limit in
	// 4 s, where the platform allows 6 and 5 requests.
	permitLifetime = time.Second
	// urgencyAge is the part of its lifetime that a permit must have waited, for each
	// level of urgency below the highest, before a request takes it while permits are
	// scarce.
	urgencyAge = 0.3
	// maxUrgencyLevel is the lowest level of urgency that is told apart.
	maxUrgencyLevel = 2
)

// Limit is the limit in force on one upstream, as divided among the entries.
type Limit struct {
	Statement
	// nextPermit is the number of the first permit that has not been examined yet.
	nextPermit uint64
	// held is when the oldest own permit that has not been used was issued. It is the
	// zero time if no examined permit is left.
	held time.Time
}

// Rate returns the requests per second that the limit allows all entries together.
func (l *Limit) Rate() float64 { return l.rate() }

// interval returns the time between two permits in seconds.
func (l *Limit) interval() float64 { return 1 / l.rate() }

func (l *Limit) lifetime() time.Duration {
	return max(permitLifetime, time.Duration(l.interval()*float64(time.Second)))
}

// number returns how many permits have been issued up to a time.
func (l *Limit) number(now time.Time) uint64 {
	return uint64(math.Max(seconds(now)*l.rate(), 0))
}

func seconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }

// refresh finds the oldest own permit that has been issued and has not expired or been
// used.
func (l *Limit) refresh(now time.Time, d *division) {
	expired := now.Add(-l.lifetime())
	if l.held.After(expired) {
		return
	}
	l.held = time.Time{}
	last := l.number(now)
	for k := max(l.nextPermit, l.number(expired)+1); k <= last; k++ {
		l.nextPermit = k + 1
		if d.owns(rendezvous.Mix(rendezvous.Mix(k) ^ l.Instance)) {
			l.held = time.Unix(0, int64(float64(k)*l.interval()*float64(time.Second)))
			return
		}
	}
}

// skip gives up the permits issued up to a time. They belong to the entries that divided the
// limit then.
func (l *Limit) skip(end time.Time) {
	l.nextPermit = max(l.nextPermit, l.number(end)+1)
	if !l.held.After(end) {
		l.held = time.Time{}
	}
}

// available reports whether an own permit has waited long enough for a level of urgency.
func (l *Limit) available(now time.Time, d *division, level int) bool {
	l.refresh(now, d)
	age := time.Duration(urgencyAge * float64(min(max(level, 0), maxUrgencyLevel)) * float64(l.lifetime()))
	return !l.held.IsZero() && now.Sub(l.held) >= age
}

// Permit is a permit that has been taken.
type Permit struct {
	issued time.Time
	rate   float64
}

// take uses the oldest own permit.
func (l *Limit) take() Permit {
	p := Permit{l.held, l.rate()}
	l.held = time.Time{}
	return p
}

// giveBack returns a permit.
func (l *Limit) giveBack(p Permit) {
	if l.held.IsZero() && l.rate() == p.rate {
		l.held = p.issued
	}
}
