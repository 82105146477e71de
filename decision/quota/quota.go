// Package quota keeps customers inside an allowance that all entries share. It
// is pure: times are the caller's.
//
// Each entry estimates the level of one token bucket for the whole fleet from
// its own work and from the running totals that the others tell. Until its next
// word each of the others is taken to go on at the rate that it had; an entry
// that has fallen silent is taken to use an equal share of the rate until it
// speaks again or is forgotten, so entries that are cut off from each other stay
// inside the allowance together. Load pattern answered: one customer sends many
// times its usual, over entries that see unequal parts of it.
package quota

import (
	"math"
	"time"
)

const (
	// silentAfter is when an entry's share of the rate is charged in place of
	// what it tells.
	silentAfter = time.Second
	// wordAge is how old a word is when it arrives, at most, as a rule.
	wordAge = 50 * time.Millisecond
	// forgetAfter is when a silent entry is taken to be gone.
	forgetAfter = 20 * time.Second
)

// Allowance bounds a customer's work.
type Allowance struct {
	// Rate is work per second; 0 is no bound.
	Rate float64
	// Burst is what may be used at once.
	Burst float64
}

type peer struct {
	incarnation int64
	heard       time.Time
	totals      map[string]float64
	// rates are work per second between the last two words.
	rates map[string]float64
	// charged is what was charged for each customer while the peer was silent.
	charged map[string]float64
}

type bucket struct {
	Allowance
	level float64
	at    time.Time
	total float64
}

// Quota is one entry's view of all customers. It is not safe for concurrent use.
type Quota struct {
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns a quota without customers.
func New() *Quota { return &Quota{buckets: map[string]*bucket{}, peers: map[string]*peer{}} }

// Set sets a customer's allowance. A new bucket starts empty, because what the
// fleet has used before is not known.
func (q *Quota) Set(now time.Time, customer string, a Allowance) {
	b := q.buckets[customer]
	if b == nil {
		b = &bucket{at: now}
		q.buckets[customer] = b
	}
	q.refill(now, b, customer)
	b.Allowance = a
	b.level = math.Min(b.level, a.Burst)
}

// refill adds what the rate has earned and charges the shares of silent peers.
func (q *Quota) refill(now time.Time, b *bucket, customer string) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	share := b.Rate / float64(len(q.peers)+1) * passed
	b.level += b.Rate * passed
	for _, p := range q.peers {
		if now.Sub(p.heard) > silentAfter {
			b.level -= share
			p.charged[customer] += share
		}
	}
	b.level = math.Min(b.level, b.Burst)
	b.at = now
}

// Take admits work of a customer or says when it could be admitted.
func (q *Quota) Take(now time.Time, customer string, work float64) (ok bool, wait time.Duration) {
	b := q.buckets[customer]
	if b == nil || b.Rate <= 0 {
		return true, 0
	}
	q.refill(now, b, customer)
	// Work beyond the whole burst is admitted by a full bucket, as debt.
	short := math.Min(work, b.Burst) + q.unseen(now, customer) - b.level
	if short > 0 {
		return false, time.Duration(short / b.Rate * float64(time.Second))
	}
	b.level -= work
	b.total += work
	return true, 0
}

// Refund takes back work that no upstream has run.
func (q *Quota) Refund(customer string, work float64) {
	if b := q.buckets[customer]; b != nil && b.Rate > 0 {
		b.level = math.Min(b.level+work, b.Burst)
		b.total -= work
	}
}

// unseen estimates what the others have admitted since their last words.
func (q *Quota) unseen(now time.Time, customer string) float64 {
	sum := 0.0
	for _, p := range q.peers {
		if age := now.Sub(p.heard); age <= silentAfter {
			sum += p.rates[customer] * (age + wordAge).Seconds()
		}
	}
	return sum
}

// Totals returns the work that this entry has admitted since its start.
func (q *Quota) Totals() map[string]float64 {
	out := make(map[string]float64, len(q.buckets))
	for name, b := range q.buckets {
		if b.total != 0 {
			out[name] = math.Round(b.total)
		}
	}
	return out
}

// Hear takes the totals of another entry.
func (q *Quota) Hear(now time.Time, entry string, incarnation int64, totals map[string]float64) {
	p := q.peers[entry]
	if p == nil || p.incarnation != incarnation {
		// What a new process has admitted already is not in the level here.
		q.peers[entry] = &peer{
			incarnation: incarnation, heard: now, totals: totals,
			rates: map[string]float64{}, charged: map[string]float64{},
		}
		return
	}
	for name, b := range q.buckets {
		q.refill(now, b, name)
		used := totals[name] - p.totals[name]
		p.rates[name] = math.Max(used, 0) / math.Max(now.Sub(p.heard).Seconds(), wordAge.Seconds())
		b.level -= used - p.charged[name]
		b.level = math.Min(b.level, b.Burst)
	}
	clear(p.charged)
	p.totals, p.heard = totals, now
}

// Expire forgets entries that have been silent for long.
func (q *Quota) Expire(now time.Time) {
	for name, p := range q.peers {
		if now.Sub(p.heard) > forgetAfter {
			delete(q.peers, name)
		}
	}
}

// Leave forgets an entry that said that it stops.
func (q *Quota) Leave(entry string) { delete(q.peers, entry) }
