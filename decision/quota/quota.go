// Package quota keeps customers inside an allowance that all entries share. It
// is pure: times are the caller's.
//
// Each entry estimates the level of one token bucket for the whole fleet from
// its own work and from the running totals that the others tell. While nothing is
// scarce, an entry admits what that level allows. Once the fleet is asked for
// nearly the rate or the level is low, the words of the others come too late to
// share what the rate earns: each entry spends only its part of it, in proportion
// to what callers ask of it, and keeps some of the burst for urgent work. Where
// totals come later still, as in very large fleets, the parts are all it goes by.
//
// An entry that has fallen silent is taken to use an equal part of the rate until
// it speaks again or is forgotten, so entries that are cut off from each other stay
// inside the allowance together. What a process may have admitted between its last
// words and its end is charged when it starts again or is forgotten.
//
// A new process does not know what the others admit. Until it has heard the totals
// of all of them twice, it spends only an equal part of the rate and takes the
// fleet to be as large as it was told, or as the part heard so far suggests.
//
// Load patterns answered: one customer sends many times its usual, over entries
// that see unequal parts of it; a customer below its rate sends single requests that
// take most of its burst; entries start again one after the other, or many at once.
package quota

import (
	"math"
	"time"

	"jaylink/decision/meter"
)

const (
	// silentAfter, and at least silentWords times what a word from each entry
	// takes, is when an entry's part of the rate is charged in place of what it
	// tells.
	silentAfter = time.Second
	silentWords = 2
	// freshTotals is how late totals may come for the fleet's level to follow
	// them; in that time a burst of a second's rate can be used several times.
	freshTotals = 5 * time.Second
	// freshDemand is how late totals may come for an allowance to count as not
	// scarce; a customer that begins to send many times its usual drains a burst
	// of a second's rate in about that time.
	freshDemand = time.Second
	// forgetAfter, and at least forgetWords times the time after which it counts as
	// silent, is when a silent entry is taken to be gone.
	forgetAfter = 20 * time.Second
	forgetWords = 1.5
	// smallWork is the part of the burst up to which work is let in on credit;
	// maxCredit is how much of the burst may be owed for it. Look-ups and orders
	// are small beside generations, and refusing them saves next to nothing.
	smallWork = 0.002
	maxCredit = 0.08
	// reserve is the part of the burst that is kept for each more urgent rank.
	reserve = 0.3
	// ranks is how many ranks have a reserve of their own.
	ranks = 2
	// lowLevel is the part of the burst below which the rate is shared out.
	lowLevel = 0.6
	// emptyLevel is the part of the burst below which an allowance is scarce
	// whatever the demand seems to be.
	emptyLevel = 0.2
	// scarceDemand is the part of the rate beyond which demand, smoothed over
	// demandTime, makes an allowance scarce. Below it the bucket is low because of
	// one large request, and what follows is not refused for it.
	scarceDemand = 0.9
	demandTime   = 2500 * time.Millisecond
	// partBurst is the time for which an entry may save up its part.
	partBurst = 400 * time.Millisecond
	// assumedTotals is how long totals are taken to need until the pace is known.
	assumedTotals = 400 * time.Millisecond
	// creditPart is the part of the platform's slack that entries which go by parts
	// may use together for small work.
	creditPart = 0.5
	// idleDemand is the part of the rate that entries without demand are taken
	// to ask for, so that the first request there is not refused.
	idleDemand = 0.01
)

// Allowance bounds a customer's work.
type Allowance struct {
	// Rate is work per second; 0 is no bound.
	Rate float64
	// Burst is what may be used at once.
	Burst float64
}

// Total is one entry's work for a customer since the process's start.
type Total struct {
	// Admitted is what was let in, Asked what callers sent.
	Admitted float64
	Asked    float64
	// Known says that the entry knows whether the allowance is scarce; new processes
	// don't. Scarce says that it is.
	Known, Scarce bool
}

type peer struct {
	incarnation int64
	heard       time.Time
	totals      map[string]Total
	demands     map[string]*meter.Meter
	// charged is what was charged for each customer while the peer was silent.
	charged map[string]float64
	// latest is the work admitted between the last two totals.
	latest map[string]float64
}

type bucket struct {
	Allowance
	// level is that of the fleet's bucket, part that of this entry's own, credit what
	// it may use for small work beyond its part.
	level, part, credit float64
	at                  time.Time
	total               Total
	demand              meter.Meter
	// sustained is the smoothed demand of all entries, per second.
	sustained float64
}

// Quota is one entry's view of all customers. It is not safe for concurrent use.
type Quota struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	view    view
	// silent is when an entry counts as silent.
	silent time.Duration
	// partsOnly says that the fleet's level is not known well enough to go by.
	partsOnly bool
	// lateDemand says that the fleet's demand becomes known too late to go by.
	lateDemand bool
	// slack is the work that the platform allows beyond an allowance.
	slack float64
	// totals is how long it takes until all entries have heard an entry's totals.
	totals time.Duration
	// begun is when the first allowance was set, others the number of other entries
	// that are known from elsewhere.
	begun  time.Time
	others int
	// learnt says that enough was heard of the others.
	learnt bool
}

// New returns a quota without customers.
func New() *Quota {
	return &Quota{
		buckets: map[string]*bucket{}, peers: map[string]*peer{}, view: view{demand: map[string]float64{}, ample: map[string]bool{}}, silent: silentAfter,
		totals: assumedTotals,
	}
}

// Pace says how long it takes until all entries have heard an entry's totals, and
// any word of it. Where totals come late, as in very large fleets, each entry
// keeps to its part of the allowance, whatever the fleet's level seems to be.
func (q *Quota) Pace(totals, word time.Duration) {
	q.totals = totals
	q.partsOnly, q.lateDemand = totals > freshTotals, totals > freshDemand
	q.silent = max(silentAfter, silentWords*word)
}

// Allow says how much work the platform allows beyond an allowance.
func (q *Quota) Allow(slack float64) { q.slack = slack }

// Set sets a customer's allowance. A new bucket starts empty, because what the
// fleet has used before is not known.
func (q *Quota) Set(now time.Time, customer string, a Allowance) {
	b := q.buckets[customer]
	if b == nil {
		b = &bucket{at: now}
		q.buckets[customer] = b
	}
	if q.begun.IsZero() {
		q.begun = now
	}
	q.refill(now, b, customer)
	b.Allowance = a
	b.level = math.Min(b.level, a.Burst)
	b.part = math.Min(b.part, a.Rate*partBurst.Seconds())
}

// refill adds what the rate has earned and charges the parts of silent peers.
func (q *Quota) refill(now time.Time, b *bucket, customer string) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	earned := b.Rate * passed
	equal := earned / float64(len(q.peers)+1)
	free := earned
	for _, p := range q.look(now).silent {
		free -= equal
		p.charged[customer] += equal
	}
	b.level = math.Min(b.level+free, b.Burst)
	share, demand := q.share(now, b, customer)
	fleet := q.fleet(now)
	if q.learning(now) {
		share = 1 / fleet
	}
	b.sustained += (1 - math.Exp(-passed/demandTime.Seconds())) * (demand - b.sustained)
	b.part = math.Min(b.part+free*share, q.partLimit(b, share))
	b.credit = math.Min(b.credit+earned/fleet, creditPart*q.slack/fleet)
}

// partLimit is what an entry may save up of its part.
func (q *Quota) partLimit(b *bucket, share float64) float64 {
	if q.partsOnly {
		return b.Burst * share
	}
	return b.Rate * share * partBurst.Seconds()
}

func (q *Quota) refillAll(now time.Time) {
	for name, b := range q.buckets {
		q.refill(now, b, name)
	}
}

// share returns this entry's part of what all speaking entries are asked for, and
// what all are asked for per second; silent ones are taken to use up their part.
func (q *Quota) share(now time.Time, b *bucket, customer string) (part, demand float64) {
	v := q.look(now)
	idle := idleDemand * b.Rate
	demand = b.demand.Rate + v.demand[customer]
	sum := demand + idle*float64(v.speaking+1)
	demand += b.Rate * float64(len(v.silent)) / float64(len(q.peers)+1)
	if sum <= 0 {
		return 1, demand
	}
	return (b.demand.Rate + idle) / sum, demand
}

// Take admits work of a customer or says when it could be admitted. Work larger
// than what there is leaves a debt. Rank 0 is the most urgent; what others find
// ends earlier, so that it is the urgent work that a scarce allowance goes to.
func (q *Quota) Take(now time.Time, customer string, work float64, rank int) (ok bool, wait time.Duration) {
	b := q.buckets[customer]
	if b == nil || b.Rate <= 0 {
		return true, 0
	}
	q.refill(now, b, customer)
	b.total.Asked += work
	if q.partsOnly && work <= b.credit {
		// A large request before it has put the part into debt for long, and what
		// is as small as this is refused to no avail.
		b.credit -= work
		b.part -= work
		b.total.Admitted += work
		return true, 0
	}
	if q.learning(now) {
		return q.takeLearning(now, b, customer, work)
	}
	share, _ := q.share(now, b, customer)
	scarce := q.lateDemand || b.scarce()
	kept := 0.0
	if scarce {
		kept = reserve * float64(min(max(rank, 0), ranks))
	}
	floor, partFloor := kept*b.Burst, kept*q.partLimit(b, share)
	if work <= smallWork*b.Burst {
		floor, partFloor = -maxCredit*b.Burst, math.Inf(-1)
		if q.partsOnly {
			partFloor = floor * share
		}
	}
	if (q.partsOnly || scarce && b.level < lowLevel*b.Burst) && b.part <= partFloor {
		return false, time.Duration((work + partFloor - b.part) / (b.Rate * share) * float64(time.Second))
	}
	if !q.partsOnly && b.level <= floor {
		return false, time.Duration((work + floor - b.level) / b.Rate * float64(time.Second))
	}
	b.level -= work
	b.part -= work
	if !scarce || !q.partsOnly && b.level >= lowLevel*b.Burst {
		b.part = math.Max(b.part, 0)
	}
	b.total.Admitted += work
	return true, 0
}

// scarce reports whether an allowance has to be shared out.
func (b *bucket) scarce() bool {
	return b.sustained > scarceDemand*b.Rate || b.level < emptyLevel*b.Burst
}

// State is what an entry goes by for a customer, to explain a refusal.
type State struct {
	Allowance
	// Level is what the fleet's bucket is taken to hold, Part what this entry's
	// own part of the rate has saved up.
	Level, Part float64
	// Demand is what all entries are asked for per second, smoothed; Share is this
	// entry's part of it.
	Demand, Share float64
	// Silent is the number of other entries that are taken to use their part.
	Silent int
}

// State returns what decides about a customer's work now.
func (q *Quota) State(now time.Time, customer string) State {
	b := q.buckets[customer]
	if b == nil {
		return State{}
	}
	share, _ := q.share(now, b, customer)
	return State{
		Allowance: b.Allowance, Level: b.level, Part: b.part, Demand: b.sustained, Share: share, Silent: len(q.look(now).silent),
	}
}

// Refund takes back work that no upstream has run.
func (q *Quota) Refund(customer string, work float64) {
	if b := q.buckets[customer]; b != nil && b.Rate > 0 {
		b.level = math.Min(b.level+work, b.Burst)
		b.part += work
		b.total.Admitted -= work
	}
}

// Totals returns this entry's totals, to be told to the others.
func (q *Quota) Totals(now time.Time) map[string]Total {
	out := make(map[string]Total, len(q.buckets))
	for name, b := range q.buckets {
		b.demand.See(now, b.total.Asked)
		if b.total.Asked > 0 {
			total := b.total
			total.Known = !q.learning(now)
			total.Scarce = total.Known && b.scarce()
			out[name] = total
		}
	}
	return out
}

// Hear takes the totals of another entry; nil says only that it lives.
func (q *Quota) Hear(now time.Time, entry string, incarnation int64, totals map[string]Total) {
	p := q.peers[entry]
	if totals == nil {
		if p != nil && p.incarnation == incarnation {
			q.speaks(now, p)
		}
		return
	}
	if p == nil || p.incarnation != incarnation {
		// What an entry had admitted before it was known is not in the level here;
		// what one has admitted since it started again is charged in full.
		known := totals
		if p != nil {
			q.chargeEnded(now, p)
			known = nil
		}
		p = &peer{
			incarnation: incarnation, totals: known,
			demands: map[string]*meter.Meter{}, charged: map[string]float64{}, latest: map[string]float64{},
		}
		q.peers[entry] = p
		q.lookAgain()
	}
	q.speaks(now, p)
	for name, b := range q.buckets {
		q.refill(now, b, name)
		p.latest[name] = totals[name].Admitted - p.totals[name].Admitted
		b.level -= p.latest[name] - p.charged[name]
		b.level = math.Min(b.level, b.Burst)
		d := p.demands[name]
		if d == nil {
			d = &meter.Meter{}
			p.demands[name] = d
		}
		d.See(now, totals[name].Asked)
	}
	clear(p.charged)
	p.totals = totals
}

// chargeEnded charges what a process that has ended may have admitted after its
// last totals: as much as between the last two, less what was charged for its
// silence.
func (q *Quota) chargeEnded(now time.Time, ended *peer) {
	for name, b := range q.buckets {
		q.refill(now, b, name)
		b.level -= math.Max(ended.latest[name]-ended.charged[name], 0)
	}
}

// speaks notes that a peer lives. If it was silent, its part is charged up to now.
func (q *Quota) speaks(now time.Time, p *peer) {
	if now.Sub(p.heard) > q.silent {
		q.refillAll(now)
		q.lookAgain()
	}
	p.heard = now
}

// Expire forgets entries that have been silent for long.
func (q *Quota) Expire(now time.Time) {
	for name, p := range q.peers {
		if now.Sub(p.heard) > max(forgetAfter, time.Duration(forgetWords*float64(q.silent))) {
			q.chargeEnded(now, p)
			delete(q.peers, name)
			q.lookAgain()
		}
	}
}

// Leave forgets an entry that said that it stops.
func (q *Quota) Leave(entry string) {
	delete(q.peers, entry)
	q.lookAgain()
}
