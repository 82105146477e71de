// Package waiting decides, for each request of one service, whether it starts, waits at
// the entry or is refused at once. It does no I/O and reads no clock: callers pass the
// time and the predicted capacity.
//
// The rules are designed for these load patterns:
//
//   - demand of several times the capacity: a request whose predicted start is too close
//     to its StartBy is refused on arrival, so that what is started is in time and no
//     engine time is spent on answers that come too late;
//   - short requests mixed with long ones, customers of very different size, and urgent
//     beside patient requests: the order is by priority, slack and cost, but a size,
//     customer or priority that is served too seldom compared with all requests goes first;
//   - a customer at several times its usual demand goes behind others of its priority;
//   - callers that retry: their requests go ahead of new ones, and the Retry-After of
//     refusals spreads them over the time in which capacity becomes free;
//   - wrong predictions and capacity that shrinks: the rate at which waiting requests are
//     really started corrects the stated one, and what can't make it any more is refused.
//
// Queue is not safe for concurrent use.
package waiting

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// slackUse is the part of the time until StartBy that the predicted wait may take. The
	// rest is for errors of the predictions and for more urgent requests that come later.
	slackUse = 0.4
	// slackStep is the resolution with which slacks are compared. Within it the cheaper
	// request goes first.
	slackStep = 50 * time.Millisecond
	// sweepInterval is how often waiting requests are checked for a start in time.
	sweepInterval = 10 * time.Millisecond
	// rateWindow is the time constant of the measured rate, and maxCorrection the factor by
	// which it may differ from the stated one.
	rateWindow    = time.Second
	maxCorrection = 8.0
	// minPart is the part of the rate that a priority is taken to have left at least.
	minPart = 0.05
	// maxRate bounds stated rates, and maxCost the cost of a request.
	maxRate = 10_000.0
	maxCost = time.Hour
	// noRateRetryAfter is the Retry-After if no capacity is predicted to become free.
	noRateRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter are the limits of Retry-After.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// levels is the number of priorities that are told apart.
	levels = 10
)

// Request is a request that may wait.
type Request struct {
	// ID identifies the request among those waiting.
	ID uint64
	// Service is the same for all requests of a queue.
	Service, Customer string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Cost is the engine time that the request takes.
	Cost time.Duration
	// Arrived is when the request came. If it is started after StartBy, it misses its
	// objective.
	Arrived, StartBy time.Time
	// Deadline is when the caller gives up; zero if that is unknown.
	Deadline time.Time
	// Returned says that the request was refused before and is sent again.
	Returned bool
}

// Capacity is the predicted capacity of a service.
type Capacity struct {
	// Room is the engine time that may be started now. The last request that is started
	// with it may take longer.
	Room time.Duration
	// Rate is the engine time that becomes free per second, in seconds.
	Rate float64
}

// Action says what happens to a request.
type Action int

// The actions.
const (
	Start Action = iota
	Wait
	Refuse
)

// Cause says why a request is refused.
type Cause int

// The causes.
const (
	// TooLate: the request would be started too late, as predicted when it came.
	TooLate Cause = iota + 1
	// Full: too many requests wait already.
	Full
	// Displaced: the request has waited, and more urgent requests or a loss of capacity have
	// made a start in time impossible.
	Displaced
)

// Verdict is the decision on a request.
type Verdict struct {
	Action Action
	// Cause and RetryAfter are set if the request is refused.
	Cause      Cause
	RetryAfter time.Duration
	// Ahead is the number of waiting requests that go first, and Wait the predicted wait.
	Ahead int
	Wait  time.Duration
}

// Refusal is the refusal of a request that was waiting.
type Refusal struct {
	ID         uint64
	Cause      Cause
	RetryAfter time.Duration
}

// waiter is a request that waits, with its place in the order.
type waiter struct {
	Request
	key key
}

// key is the place of a request in the order; lower goes first.
type key struct {
	// rank is composed of protection, priority, demand over the usual, and return.
	rank  int
	slack int64
	cost  time.Duration
	// sequence keeps the order of arrival of equal requests.
	sequence uint64
}

// protected reports whether the request goes before all that are not.
func (k key) protected() bool { return k.rank < 1<<2 }

func (k key) before(o key) bool {
	switch {
	case k.rank != o.rank:
		return k.rank < o.rank
	case k.slack != o.slack:
		return k.slack < o.slack
	case k.cost != o.cost:
		return k.cost < o.cost
	}
	return k.sequence < o.sequence
}

// Queue holds the waiting requests of one service.
type Queue struct {
	maxWaiting int
	sequence   uint64
	// waiters are in order. costs and startBys have the same order; they are kept apart so
	// that a decision reads little memory.
	waiters  []*waiter
	costs    []time.Duration
	startBys []int64 // since epoch, in nanoseconds
	byID     map[uint64]*waiter
	epoch    time.Time
	lastScan time.Time
	shares   shares
	drain    drain
	retries  retries
}

// New returns an empty queue for at most maxWaiting requests.
func New(maxWaiting int) *Queue {
	return &Queue{maxWaiting: maxWaiting, byID: map[uint64]*waiter{}, shares: newShares()}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Offer decides on a new request. One that is to wait is started or refused by a later
// Release, unless Cancel removes it before.
func (q *Queue) Offer(now time.Time, r Request, c Capacity) Verdict {
	r, c = sane(now, r), c.sane()
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.Cancel(r.ID)
	groups := q.shares.offered(now, &r)
	rate := q.drain.rate(c.Rate)
	w := &waiter{Request: r, key: q.keyOf(&r, groups.hot(now), false)}
	// Requests that come later and go first use their part of the rate.
	left := max(rate-q.shares.goesFirst(now, r.Priority), minPart*rate)
	at, v := q.examine(now, w, c, left)
	if v.Action == Refuse && v.Cause == TooLate && q.shares.starved(groups) {
		w.key = q.keyOf(&r, false, true)
		at, v = q.examine(now, w, c, rate)
	}
	switch v.Action {
	case Refuse:
		v.RetryAfter = q.retries.after(now, &r, q.costUpTo(r.Priority), rate)
		return v
	case Wait:
		q.insert(at, w)
	}
	q.shares.admitted(groups, r.Cost, w.key.protected(), 1)
	return v
}

// examine returns a request's place in the order, and what would become of it there.
func (q *Queue) examine(now time.Time, w *waiter, c Capacity, rate float64) (int, Verdict) {
	at := sort.Search(len(q.waiters), func(i int) bool { return w.key.before(q.waiters[i].key) })
	ahead := time.Duration(0)
	for _, cost := range q.costs[:at] {
		ahead += cost
	}
	v := Verdict{Ahead: at, Wait: waitFor(ahead-c.Room, rate)}
	slack := w.StartBy.Sub(now)
	switch {
	case slack < 0:
		v.Action, v.Cause = Refuse, TooLate
	case ahead < c.Room:
		v.Wait = 0
	case rate <= 0, float64(v.Wait) > slackUse*float64(slack):
		v.Action, v.Cause = Refuse, TooLate
	case len(q.waiters) >= q.maxWaiting:
		v.Action, v.Cause = Refuse, Full
	default:
		v.Action = Wait
	}
	return at, v
}

// Release returns the waiting requests that start now, and those that can't be started in
// time any more. None of them waits any longer.
func (q *Queue) Release(now time.Time, c Capacity) (start []uint64, refuse []Refusal) {
	c = c.sane()
	backlogged := len(q.waiters) > 0
	room, started, gone := c.Room, time.Duration(0), 0
	for room > 0 && gone < len(q.waiters) {
		w := q.waiters[gone]
		gone++
		delete(q.byID, w.ID)
		if now.After(w.StartBy) {
			refuse = append(refuse, q.refusal(now, w, c))
			continue
		}
		start = append(start, w.ID)
		room -= w.Cost
		started += w.Cost
	}
	if gone > 0 {
		q.remove(0, gone)
	}
	q.drain.observe(now, started, len(q.waiters) > 0)
	if backlogged && now.Sub(q.lastScan) >= sweepInterval {
		q.lastScan = now
		refuse = q.sweep(now, c, refuse)
	}
	return start, refuse
}

// sweep refuses the requests whose predicted start is after their StartBy.
func (q *Queue) sweep(now time.Time, c Capacity, refuse []Refusal) []Refusal {
	rate := q.drain.rate(c.Rate)
	at, ahead := int64(now.Sub(q.epoch)), -c.Room
	for i := 0; i < len(q.costs); {
		// A lost race against a hopeful prediction costs little, so that there is no margin.
		late := at > q.startBys[i] || ahead > 0 && float64(ahead) > float64(q.startBys[i]-at)*rate
		if !late {
			ahead += q.costs[i]
			i++
			continue
		}
		w := q.waiters[i]
		delete(q.byID, w.ID)
		q.remove(i, i+1)
		refuse = append(refuse, q.refusal(now, w, c))
	}
	return refuse
}

// refusal refuses a request that has waited.
func (q *Queue) refusal(now time.Time, w *waiter, c Capacity) Refusal {
	q.shares.admitted(q.shares.of(now, &w.Request), w.Cost, w.key.protected(), -1)
	rate := q.drain.rate(c.Rate)
	return Refusal{w.ID, Displaced, q.retries.after(now, &w.Request, q.costUpTo(w.Priority), rate)}
}

// Cancel removes a waiting request, if there is one with this ID. Its customer is not
// held to have been served less for it.
func (q *Queue) Cancel(id uint64) {
	w := q.byID[id]
	if w == nil {
		return
	}
	delete(q.byID, id)
	at := sort.Search(len(q.waiters), func(i int) bool { return !q.waiters[i].key.before(w.key) })
	q.remove(at, at+1)
}

func (q *Queue) insert(at int, w *waiter) {
	q.waiters = slices.Insert(q.waiters, at, w)
	q.costs = slices.Insert(q.costs, at, w.Cost)
	q.startBys = slices.Insert(q.startBys, at, int64(w.StartBy.Sub(q.epoch)))
	q.byID[w.ID] = w
}

func (q *Queue) remove(from, to int) {
	if from == 0 {
		clear(q.waiters[:to])
		q.waiters, q.costs, q.startBys = q.waiters[to:], q.costs[to:], q.startBys[to:]
		return
	}
	q.waiters = slices.Delete(q.waiters, from, to)
	q.costs = slices.Delete(q.costs, from, to)
	q.startBys = slices.Delete(q.startBys, from, to)
}

// keyOf returns a request's place in the order. A request of a customer far above its
// usual demand is behind the others of its priority, a returned one ahead of new ones, and a
// protected one ahead of all.
func (q *Queue) keyOf(r *Request, hot, protected bool) key {
	rank := (1+r.Priority)<<2 | 1
	if protected {
		rank = 1
	}
	if hot {
		rank |= 2
	}
	if r.Returned {
		rank &^= 1
	}
	q.sequence++
	return key{rank, int64(r.StartBy.Sub(q.epoch) / slackStep), r.Cost, q.sequence}
}

// costUpTo returns the cost of the waiting requests that are at least as urgent as a
// priority.
func (q *Queue) costUpTo(priority int) time.Duration {
	limit := key{rank: (2 + priority) << 2}
	at := sort.Search(len(q.waiters), func(i int) bool { return !q.waiters[i].key.before(limit) })
	sum := time.Duration(0)
	for _, cost := range q.costs[:at] {
		sum += cost
	}
	return sum
}

// waitFor returns how long it takes until work that is too much now can be started.
func waitFor(work time.Duration, rate float64) time.Duration {
	switch {
	case work <= 0:
		return 0
	case rate <= 0:
		return math.MaxInt64
	}
	return time.Duration(min(float64(work)/rate, float64(maxCost)))
}

// sane bounds the values of a request.
func sane(now time.Time, r Request) Request {
	r.Priority = min(max(r.Priority, 0), levels-1)
	r.Cost = min(max(r.Cost, time.Microsecond), maxCost)
	if r.Arrived.After(now) || r.Arrived.IsZero() {
		r.Arrived = now
	}
	if !r.Deadline.IsZero() && r.Deadline.Before(r.StartBy) {
		r.StartBy = r.Deadline
	}
	if r.StartBy.After(now.Add(maxCost)) {
		r.StartBy = now.Add(maxCost)
	}
	return r
}

// sane bounds the values of a capacity.
func (c Capacity) sane() Capacity {
	if !(c.Rate > 0) { // also NaN
		c.Rate = 0
	}
	return Capacity{min(max(c.Room, 0), maxCost), min(c.Rate, maxRate)}
}
