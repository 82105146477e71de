// Package quota limits each customer to an allowance that all entries (the
// proxy processes of the fleet) share. It does no I/O and reads no clock:
// callers pass the current time.
//
// Each entry estimates the level of one token bucket for the whole fleet from
// the work that it admits itself and from the running totals that the others
// send. While an allowance is not scarce, an entry admits what that level
// allows. Once the demand on the fleet is close to the rate or the level is
// low, the totals of the others arrive too late to divide up what the rate
// earns: each entry spends only its share of it, in proportion to the work that
// its callers request, and reserves some of the burst for urgent work. Where
// totals arrive later still, as in very large fleets, entries use only their
// shares.
//
// A silent entry, one that has sent no message for a while, is assumed to use
// an equal share of the rate until it sends one again or is forgotten, so that
// partitioned entries together stay within the allowance. What a process may
// have admitted between its last totals and its end is charged when it restarts
// or is forgotten.
//
// A new process does not know what the others admit. Until it has received the
// totals of all of them twice, it spends only an equal share of the rate. As
// the size of the fleet it uses the number that it was given, or else
// extrapolates from the entries heard from so far.
//
// Load patterns handled: one customer sends many times its normal load through
// entries that receive unequal parts of it; a customer below its rate sends
// single requests that take most of its burst; entries restart one after the
// other, or many at once.
package quota

import (
	"math"
	"time"

	"jaylink/decision/meter"
)

const (
	// An entry is silent after minSilentTimeout without a message, or after
	// silentDelays times the delay of a message if that is longer. Its share of
	// the rate is then charged instead of the totals that it reports.
	minSilentTimeout = time.Second
	silentDelays     = 2
	// maxTotalsDelay is the longest delay of totals at which the estimated
	// level of the fleet is used. In that time a burst of one second's rate can
	// be spent several times.
	maxTotalsDelay = 5 * time.Second
	// maxDemandDelay is the longest delay of totals at which an allowance can
	// count as not scarce. A customer that starts to send many times its normal
	// load drains a burst of one second's rate in about that time.
	maxDemandDelay = time.Second
	// A silent entry is assumed to be gone after minForgetTimeout, or after
	// forgetFactor times the silent timeout if that is longer.
	minForgetTimeout = 20 * time.Second
	forgetFactor     = 1.5
	// smallWorkFraction is the part of the burst up to which work is admitted
	// on credit, and maxDebtFraction the part of the burst that may be owed for
	// it. Lookups and orders are small compared with text generations, and
	// refusing them saves next to nothing.
	smallWorkFraction = 0.002
	maxDebtFraction   = 0.08
	// reserveFraction is the part of the burst that is reserved for each more
	// urgent priority.
	reserveFraction = 0.3
	// reservedPriorities is the number of priorities with a reserve of their
	// own.
	reservedPriorities = 2
	// lowLevelFraction is the part of the burst below which entries are limited
	// to their shares of a scarce allowance.
	lowLevelFraction = 0.6
	// scarceLevelFraction is the part of the burst below which an allowance is
	// scarce whatever the estimated demand.
	scarceLevelFraction = 0.2
	// scarceDemandFraction is the part of the rate above which the demand,
	// smoothed with demandTimeConstant, makes an allowance scarce. Below it a
	// low level is the result of one large request, and the requests after it
	// are not refused.
	scarceDemandFraction = 0.9
	demandTimeConstant   = 2500 * time.Millisecond
	// localBurstTime is the time for which an entry may accumulate its share of
	// the rate.
	localBurstTime = 400 * time.Millisecond
	// initialTotalsDelay is the delay of totals that is assumed until SetDelays is
	// called.
	initialTotalsDelay = 400 * time.Millisecond
	// creditSlackFraction is the part of the platform's slack that all entries
	// together may use for small work while they use only their shares.
	creditSlackFraction = 0.5
	// idleDemandFraction is the part of the rate that is added to the demand of
	// every entry that is not silent when shares are computed. Otherwise an
	// entry without demand would have no share and refuse its first request.
	idleDemandFraction = 0.01
)

// Allowance limits a customer's work.
type Allowance struct {
	// Rate is the work per second; 0 means unlimited.
	Rate float64
	// Burst is the capacity of the token bucket.
	Burst float64
}

// Total is one entry's work for a customer since the start of its process.
type Total struct {
	// Admitted is the work that was admitted, and Requested the work that callers
	// requested.
	Admitted  float64
	Requested float64
	// Known is set if the entry knows whether the allowance is scarce, which a
	// new process does not. Scarce is set if it is.
	Known, Scarce bool
}

// peer is the state of another entry.
type peer struct {
	incarnation int64
	lastHeard   time.Time
	totals      map[string]Total
	demands     map[string]*meter.Meter
	// charged is the work charged to each customer while the peer was silent.
	charged map[string]float64
	// lastIncrease is the work admitted between the last two totals, by
	// customer.
	lastIncrease map[string]float64
}

// bucket is the state of one customer's allowance.
type bucket struct {
	Allowance
	// fleetLevel is the estimated level of the fleet's bucket and localLevel
	// that of this entry's own share. credit is what the entry may still use
	// for small work beyond its share.
	fleetLevel, localLevel, credit float64
	at                             time.Time
	total                          Total
	demand                         meter.Meter
	// smoothedDemand is the smoothed demand on all entries, per second.
	smoothedDemand float64
}

// Quota is one entry's view of the allowances of all customers. It is not safe
// for concurrent use.
type Quota struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	view    peerView
	// silentTimeout is the time without a message after which an entry is
	// silent.
	silentTimeout time.Duration
	// localOnly is set if the fleet's level is not known well enough to be
	// used.
	localOnly bool
	// lateDemand is set if the fleet's demand becomes known too late to be
	// used.
	lateDemand bool
	// slack is the work that the platform tolerates beyond an allowance.
	slack float64
	// totalsDelay is the time until all entries have received an entry's
	// totals.
	totalsDelay time.Duration
	// startedAt is when the first allowance was set, and expectedPeers the
	// number of other entries according to SetPeerCount.
	startedAt     time.Time
	expectedPeers int
	// learned is set once the totals of the other entries are known well
	// enough.
	learned bool
}

// New returns a Quota without customers.
func New() *Quota {
	return &Quota{
		buckets: map[string]*bucket{}, peers: map[string]*peer{}, view: peerView{demand: map[string]float64{}, plentiful: map[string]bool{}}, silentTimeout: minSilentTimeout,
		totalsDelay: initialTotalsDelay,
	}
}

// SetDelays sets the time until all entries have received an entry's totals, and the
// time until they have received any message from it. Where totals are slow, as
// in very large fleets, each entry is limited to its share of the allowance
// whatever the estimated level of the fleet.
func (q *Quota) SetDelays(totalsDelay, messageDelay time.Duration) {
	q.totalsDelay = totalsDelay
	q.localOnly, q.lateDemand = totalsDelay > maxTotalsDelay, totalsDelay > maxDemandDelay
	q.silentTimeout = max(minSilentTimeout, silentDelays*messageDelay)
}

// SetSlack sets the work that the platform tolerates beyond an allowance.
func (q *Quota) SetSlack(slack float64) { q.slack = slack }

// Set sets a customer's allowance. A new bucket starts empty, because what the
// fleet has used before is unknown.
func (q *Quota) Set(now time.Time, customer string, a Allowance) {
	b := q.buckets[customer]
	if b == nil {
		b = &bucket{at: now}
		q.buckets[customer] = b
	}
	if q.startedAt.IsZero() {
		q.startedAt = now
	}
	q.refill(now, b, customer)
	b.Allowance = a
	b.fleetLevel = math.Min(b.fleetLevel, a.Burst)
	b.localLevel = math.Min(b.localLevel, a.Rate*localBurstTime.Seconds())
}

// refill adds what the rate has earned and charges the shares of silent peers.
func (q *Quota) refill(now time.Time, b *bucket, customer string) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	earned := b.Rate * elapsed
	equalShare := earned / float64(len(q.peers)+1)
	unclaimed := earned
	for _, p := range q.peerView(now).silent {
		unclaimed -= equalShare
		p.charged[customer] += equalShare
	}
	b.fleetLevel = math.Min(b.fleetLevel+unclaimed, b.Burst)
	share, demand := q.share(now, b, customer)
	fleetSize := q.fleetSize(now)
	if q.learning(now) {
		share = 1 / fleetSize
	}
	b.smoothedDemand += (1 - math.Exp(-elapsed/demandTimeConstant.Seconds())) * (demand - b.smoothedDemand)
	b.localLevel = math.Min(b.localLevel+unclaimed*share, q.localLimit(b, share))
	b.credit = math.Min(b.credit+earned/fleetSize, creditSlackFraction*q.slack/fleetSize)
}

// localLimit returns how much of its share an entry may accumulate.
func (q *Quota) localLimit(b *bucket, share float64) float64 {
	if q.localOnly {
		return b.Burst * share
	}
	return b.Rate * share * localBurstTime.Seconds()
}

func (q *Quota) refillAll(now time.Time) {
	for name, b := range q.buckets {
		q.refill(now, b, name)
	}
}

// share returns this entry's share of the demand on all entries that are not
// silent, and the total demand per second. Silent entries are assumed to use up
// their share.
func (q *Quota) share(now time.Time, b *bucket, customer string) (localShare, demand float64) {
	v := q.peerView(now)
	idle := idleDemandFraction * b.Rate
	demand = b.demand.Rate + v.demand[customer]
	sum := demand + idle*float64(v.active+1)
	demand += b.Rate * float64(len(v.silent)) / float64(len(q.peers)+1)
	if sum <= 0 {
		return 1, demand
	}
	return (b.demand.Rate + idle) / sum, demand
}

// Take admits work of a customer or returns how long to wait before trying
// again. Work that exceeds what is left leaves a debt. Priority 0 is the most
// urgent. Less urgent work is refused at a higher level, so that a scarce
// allowance goes to urgent work.
func (q *Quota) Take(now time.Time, customer string, work float64, priority int) (ok bool, wait time.Duration) {
	b := q.buckets[customer]
	if b == nil || b.Rate <= 0 {
		return true, 0
	}
	q.refill(now, b, customer)
	b.total.Requested += work
	if q.localOnly && work <= b.credit {
		// An earlier large request may have put the local level into debt for a
		// long time, and refusing work this small saves next to nothing.
		b.credit -= work
		b.localLevel -= work
		b.total.Admitted += work
		return true, 0
	}
	if q.learning(now) {
		return q.takeLearning(now, b, customer, work)
	}
	share, _ := q.share(now, b, customer)
	scarce := q.lateDemand || b.scarce()
	reserved := 0.0
	if scarce {
		reserved = reserveFraction * float64(min(max(priority, 0), reservedPriorities))
	}
	fleetFloor, localFloor := reserved*b.Burst, reserved*q.localLimit(b, share)
	if work <= smallWorkFraction*b.Burst {
		fleetFloor, localFloor = -maxDebtFraction*b.Burst, math.Inf(-1)
		if q.localOnly {
			localFloor = fleetFloor * share
		}
	}
	if (q.localOnly || scarce && b.fleetLevel < lowLevelFraction*b.Burst) && b.localLevel <= localFloor {
		return false, time.Duration((work + localFloor - b.localLevel) / (b.Rate * share) * float64(time.Second))
	}
	if !q.localOnly && b.fleetLevel <= fleetFloor {
		return false, time.Duration((work + fleetFloor - b.fleetLevel) / b.Rate * float64(time.Second))
	}
	b.fleetLevel -= work
	b.localLevel -= work
	if !scarce || !q.localOnly && b.fleetLevel >= lowLevelFraction*b.Burst {
		b.localLevel = math.Max(b.localLevel, 0)
	}
	b.total.Admitted += work
	return true, 0
}

// scarce reports whether the entries have to divide up an allowance.
func (b *bucket) scarce() bool {
	return b.smoothedDemand > scarceDemandFraction*b.Rate || b.fleetLevel < scarceLevelFraction*b.Burst
}

// State is what decides about a customer's work, to explain a refusal.
type State struct {
	Allowance
	// Level is the estimated level of the fleet's token bucket, and LocalLevel the
	// level of this entry's own bucket, which its share of the rate fills.
	Level, LocalLevel float64
	// Demand is the smoothed demand on all entries per second, and Share this
	// entry's part of it.
	Demand, Share float64
	// Silent is the number of other entries that are silent and assumed to use
	// their share.
	Silent int
}

// State returns what currently decides about a customer's work.
func (q *Quota) State(now time.Time, customer string) State {
	b := q.buckets[customer]
	if b == nil {
		return State{}
	}
	share, _ := q.share(now, b, customer)
	return State{
		Allowance: b.Allowance, Level: b.fleetLevel, LocalLevel: b.localLevel, Demand: b.smoothedDemand, Share: share, Silent: len(q.peerView(now).silent),
	}
}

// Refund returns work that was admitted but that no upstream ran.
func (q *Quota) Refund(customer string, work float64) {
	if b := q.buckets[customer]; b != nil && b.Rate > 0 {
		b.fleetLevel = math.Min(b.fleetLevel+work, b.Burst)
		b.localLevel += work
		b.total.Admitted -= work
	}
}

// Totals returns this entry's totals, to be sent to the others.
func (q *Quota) Totals(now time.Time) map[string]Total {
	out := make(map[string]Total, len(q.buckets))
	for name, b := range q.buckets {
		b.demand.Observe(now, b.total.Requested)
		if b.total.Requested > 0 {
			total := b.total
			total.Known = !q.learning(now)
			total.Scarce = total.Known && b.scarce()
			out[name] = total
		}
	}
	return out
}

// UpdatePeer processes a message from another entry with its totals; nil totals only
// show that the entry is alive.
func (q *Quota) UpdatePeer(now time.Time, entry string, incarnation int64, totals map[string]Total) {
	p := q.peers[entry]
	if totals == nil {
		if p != nil && p.incarnation == incarnation {
			q.markAlive(now, p)
		}
		return
	}
	if p == nil || p.incarnation != incarnation {
		// The first totals of a newly discovered entry are the baseline: what
		// it admitted before is not in the level here. What a restarted entry
		// has admitted since its start is charged in full.
		baseline := totals
		if p != nil {
			q.chargeUnreported(now, p)
			baseline = nil
		}
		p = &peer{
			incarnation: incarnation, totals: baseline,
			demands: map[string]*meter.Meter{}, charged: map[string]float64{}, lastIncrease: map[string]float64{},
		}
		q.peers[entry] = p
		q.invalidateView()
	}
	q.markAlive(now, p)
	for name, b := range q.buckets {
		q.refill(now, b, name)
		p.lastIncrease[name] = totals[name].Admitted - p.totals[name].Admitted
		b.fleetLevel -= p.lastIncrease[name] - p.charged[name]
		b.fleetLevel = math.Min(b.fleetLevel, b.Burst)
		d := p.demands[name]
		if d == nil {
			d = &meter.Meter{}
			p.demands[name] = d
		}
		d.Observe(now, totals[name].Requested)
	}
	clear(p.charged)
	p.totals = totals
}

// chargeUnreported charges what a process that has ended may have admitted
// after its last totals: as much as between its last two totals, less what was
// charged while it was silent.
func (q *Quota) chargeUnreported(now time.Time, ended *peer) {
	for name, b := range q.buckets {
		q.refill(now, b, name)
		b.fleetLevel -= math.Max(ended.lastIncrease[name]-ended.charged[name], 0)
	}
}

// markAlive records that a message from a peer has arrived. If the peer was
// silent, its share is charged up to now.
func (q *Quota) markAlive(now time.Time, p *peer) {
	if now.Sub(p.lastHeard) > q.silentTimeout {
		q.refillAll(now)
		q.invalidateView()
	}
	p.lastHeard = now
}

// Expire forgets entries that have been silent for a long time.
func (q *Quota) Expire(now time.Time) {
	for name, p := range q.peers {
		if now.Sub(p.lastHeard) > max(minForgetTimeout, time.Duration(forgetFactor*float64(q.silentTimeout))) {
			q.chargeUnreported(now, p)
			delete(q.peers, name)
			q.invalidateView()
		}
	}
}

// Leave forgets an entry that announced its shutdown.
func (q *Quota) Leave(entry string) {
	delete(q.peers, entry)
	q.invalidateView()
}
