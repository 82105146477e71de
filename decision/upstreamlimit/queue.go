package upstreamlimit

import "time"

const (
	// customerTimeConstant is the time over which the permits that a customer has used
	// count, and minCustomerUse the number of permits below which customers are not
	// compared.
	customerTimeConstant = 2 * time.Second
	minCustomerUse       = 6
	// heavyShare times the mean use of all customers makes a customer less urgent than
	// the others.
	heavyShare = 1.5
)

// queue is the state of a service whose upstreams are all limited.
type queue struct {
	// end is when the last of the refused callers may come back.
	end time.Time
	// used is the number of permits that each customer has used lately, as of usedAt.
	used   map[string]float64
	usedAt time.Time
}

func (l *Limits) queue(service uint32) *queue {
	q := l.queues[service]
	if q == nil {
		q = &queue{used: map[string]float64{}}
		l.queues[service] = q
	}
	return q
}

// Wait returns how long a refused caller should wait if this entry may send perSecond
// requests to the service's upstreams. Callers are told times that follow each other at
// that rate, so that they do not return together.
func (l *Limits) Wait(now time.Time, service uint32, perSecond float64) time.Duration {
	q := l.queue(service)
	start := q.end
	if start.Before(now) {
		start = now
	}
	if settled := l.resumedAt.Add(minSettleTime); start.Before(settled) {
		start = settled
	}
	q.end = start.Add(min(time.Duration(float64(time.Second)/max(perSecond, minRate)), maxWait))
	if latest := now.Add(maxWait); q.end.After(latest) {
		q.end = latest
	}
	return q.end.Sub(now)
}

// Level returns the urgency of a request while permits are scarce: its priority, and one
// level less for a customer that has used far more permits than the others.
func (l *Limits) Level(now time.Time, service uint32, priority int, customer string) int {
	q := l.queue(service)
	q.decay(now)
	total := 0.0
	for _, n := range q.used {
		total += n
	}
	if total >= minCustomerUse && q.used[customer] > heavyShare*total/float64(len(q.used)) {
		return priority + 1
	}
	return priority
}

// CountUse counts a permit that a customer's request has used.
func (l *Limits) CountUse(now time.Time, service uint32, customer string) {
	q := l.queue(service)
	q.decay(now)
	q.used[customer]++
}

// UncountUse takes back a call of CountUse.
func (l *Limits) UncountUse(now time.Time, service uint32, customer string) {
	q := l.queue(service)
	q.decay(now)
	q.used[customer] = max(q.used[customer]-1, 0)
}

func (q *queue) decay(now time.Time) {
	elapsed := now.Sub(q.usedAt)
	if elapsed < customerTimeConstant/8 {
		return
	}
	q.usedAt = now
	factor := max(1-elapsed.Seconds()/customerTimeConstant.Seconds(), 0)
	for customer := range q.used {
		if q.used[customer] *= factor; q.used[customer] < 0.1 {
			delete(q.used, customer)
		}
	}
}
