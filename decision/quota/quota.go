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
// its callers request. The shares divide what the rate earns and, over some
// delays of the totals, the level of the fleet, so that the burst is used up
// and what was admitted too much is saved again. As much of the burst as more
// urgent work is requested is reserved for it. Where totals arrive later still,
// as in very large fleets, entries use only their shares; if overdrawing them
// by one request each would be too much together, the entries take turns.
//
// A silent entry, one that has sent no message for a while, is assumed to use
// an equal share of the rate until it sends one again or is forgotten, so that
// partitioned entries together stay within the allowance: the part of the burst
// of the silent entries counts as used, too. What a process may
// have admitted between its last totals and its end is charged when it restarts
// or is forgotten.
//
// A new process does not know what the others admit. Until it has received the
// totals of all of them twice, it spends only an equal share of the rate. As
// the size of the fleet it uses the number that it was given, or else
// extrapolates from the entries heard from so far.
//
// Load patterns handled: one customer sends many times its normal load through
// entries that receive unequal parts of it, in requests larger than an entry's
// share; its prompts are less urgent than the few lookups beside them; a customer below its rate sends
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
	// maxDebtTime bounds the debt of the fleet's level to the burst and what
	// the rate earns in this time, and maxPeerDemand the demand of a peer to
	// this multiple of the rate, whatever totals a peer reports.
	maxDebtTime   = 8 * time.Second
	maxPeerDemand = 8
	// initialTotalsDelay is the delay of totals that is assumed until SetDelays is
	// called.
	initialTotalsDelay = 400 * time.Millisecond
	// creditSlackFraction is the part of the platform's slack that all entries
	// together may use for small work while they use only their shares.
	creditSlackFraction = 0.5
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
	// silent is set once the peer counts as silent. unreportedSince is the time
	// up to which its work was reported or charged.
	silent          bool
	unreportedSince time.Time
	// rounds is the number of totals received. Two of them show the demand.
	rounds int
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
	// byPriority is the work requested of late, by priority, and halvedAt the
	// time when it was last halved.
	byPriority [reservedPriorities + 1]float64
	halvedAt   time.Time
	// meanWork is the smoothed size of a request.
	meanWork float64
	// demandAt is when demand was last measured.
	demandAt time.Time
	// share is this entry's share of the demand, limit what it may accumulate
	// of its share, and sideBurst the part of the burst that its side may use.
	// They are as of at.
	share, limit, sideBurst float64
	// smoothedDemand is the smoothed demand on all entries, per second.
	smoothedDemand float64
}

// Quota is one entry's view of the allowances of all customers. It is not safe
// for concurrent use.
type Quota struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	view    peerView
	// turn is this entry's place in the order of turns, from 0 to 1.
	turn float64
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
	q.updateShare(now, q.peerView(now), b, customer)
	b.fleetLevel = math.Min(b.fleetLevel, a.Burst)
	b.localLevel = math.Min(b.localLevel, a.Rate*localBurstTime.Seconds())
}

// refill adds what the rate has earned and charges the shares of silent peers.
func (q *Quota) refill(now time.Time, b *bucket, customer string) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	view := q.peerView(now)
	b.at = now
	earned := b.Rate * elapsed
	equalShare := earned / float64(len(q.peers)+1)
	unclaimed := earned
	for _, p := range view.silent {
		unclaimed -= equalShare
		p.charged[customer] += equalShare
	}
	demand := q.updateShare(now, view, b, customer)
	b.fleetLevel = math.Min(b.fleetLevel+unclaimed, b.sideBurst)
	fleetSize, learning := q.fleetSize(now), q.learning(now)
	share, limit := b.share, b.limit
	if learning {
		share = 1 / fleetSize
		limit = q.localLimit(now, b, share)
	}
	b.smoothedDemand += (1 - math.Exp(-elapsed/demandTimeConstant.Seconds())) * (demand - b.smoothedDemand)
	spendable := unclaimed
	if !learning && (!q.localOnly || now.Sub(q.startedAt) > q.learningTime()) {
		// What the fleet has not used, or has used too much, changes the share,
		// so that the level goes to zero instead of staying where it is.
		spendable = math.Max(unclaimed+b.fleetLevel*elapsed/max(minLevelTime, levelDelays*q.totalsDelay).Seconds(), 0)
	}
	b.localLevel = math.Min(b.localLevel+spendable*share, limit)
	b.credit = math.Min(b.credit+earned/fleetSize, creditSlackFraction*q.slack/fleetSize)
}

func (q *Quota) refillAll(now time.Time) {
	for name, b := range q.buckets {
		q.refill(now, b, name)
	}
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
	b.countPriority(now, work, priority)
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
	share, burst := b.share, b.sideBurst
	scarce := q.lateDemand || b.scarce()
	reserved := 0.0
	if scarce {
		reserved = b.reserved(priority)
	}
	fleetFloor, localFloor := reserved*burst, reserved*b.limit
	if work <= smallWorkFraction*b.Burst {
		fleetFloor, localFloor = -maxDebtFraction*burst, math.Inf(-1)
		if q.localOnly {
			localFloor = fleetFloor * share
		}
	}
	if (q.localOnly || scarce && b.fleetLevel < lowLevelFraction*burst) && b.localLevel <= localFloor {
		return false, time.Duration((work + localFloor - b.localLevel) / (b.Rate * share) * float64(time.Second))
	}
	if q.localOnly {
		if ok, wait := q.mayOverdraw(now, b, work-b.localLevel); !ok {
			return false, wait
		}
	}
	if !q.localOnly && b.fleetLevel <= fleetFloor {
		return false, time.Duration((work + fleetFloor - b.fleetLevel) / b.Rate * float64(time.Second))
	}
	b.fleetLevel -= work
	b.localLevel -= work
	if !scarce || !q.localOnly && b.fleetLevel >= lowLevelFraction*burst {
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
	view := q.peerView(now)
	share, _ := q.demandShare(view, b, customer)
	return State{
		Allowance: b.Allowance, Level: b.fleetLevel, LocalLevel: b.localLevel, Demand: b.smoothedDemand, Share: share, Silent: len(view.silent),
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
		// The demand here is measured over the same time as that of the others.
		// Measured over a shorter one, a request would raise the share at once,
		// and so earn back what it has used. Entries that start together measure
		// at different times: otherwise they would all raise their shares at
		// once.
		if b.demandAt.IsZero() {
			b.demandAt = now.Add(-time.Duration(q.turn * float64(q.totalsDelay)))
			b.demand.Observe(now, b.total.Requested)
		}
		if now.Sub(b.demandAt) >= q.totalsDelay {
			b.demandAt = now
			b.demand.Observe(now, b.total.Requested)
		}
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
	p.rounds++
	p.unreportedSince = now
	for name, b := range q.buckets {
		q.refill(now, b, name)
		increase := totals[name].Admitted - p.totals[name].Admitted
		if math.IsNaN(increase + totals[name].Requested) {
			continue
		}
		p.lastIncrease[name] = increase
		b.fleetLevel -= increase - p.charged[name]
		b.boundLevel()
		d := p.demands[name]
		if d == nil {
			d = &meter.Meter{}
			p.demands[name] = d
		}
		d.Observe(now, totals[name].Requested)
		d.Rate = math.Min(d.Rate, maxPeerDemand*b.Rate)
	}
	clear(p.charged)
	p.totals = totals
}

// boundLevel keeps the fleet's level between the largest debt and the burst.
func (b *bucket) boundLevel() {
	b.fleetLevel = math.Max(math.Min(b.fleetLevel, b.Burst), -b.Burst-b.Rate*maxDebtTime.Seconds())
}

// chargeUnreported charges what a process that has ended may have admitted
// after its last totals: as much as between its last two totals, less what was
// charged while it was silent.
func (q *Quota) chargeUnreported(now time.Time, ended *peer) {
	for name, b := range q.buckets {
		q.refill(now, b, name)
		b.fleetLevel -= math.Max(ended.lastIncrease[name]-ended.charged[name], 0)
		b.boundLevel()
	}
}

// chargeSilent charges the share of a peer that has just become silent from its
// last totals on.
func (q *Quota) chargeSilent(p *peer) {
	for name, b := range q.buckets {
		if since := b.at.Sub(p.unreportedSince).Seconds(); since > 0 {
			charge := math.Min(b.Rate*since/float64(len(q.peers)+1), math.Max(b.fleetLevel, 0))
			b.fleetLevel -= charge
			p.charged[name] += charge
		}
	}
}

// markAlive records that a message from a peer has arrived. If the peer was
// silent, its share is charged up to now.
func (q *Quota) markAlive(now time.Time, p *peer) {
	if now.Sub(p.lastHeard) > q.silentTimeout {
		q.refillAll(now)
		q.invalidateView()
		if p.silent {
			p.silent, p.unreportedSince = false, now
		}
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
