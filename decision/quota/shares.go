package quota

import (
	"hash/fnv"
	"math"
	"math/bits"
	"time"
)

// How the entries divide a scarce allowance.
const (
	// reserveFraction is the part of the burst that is reserved for each more
	// urgent priority.
	reserveFraction = 0.3
	// reservedPriorities is the number of priorities with a reserve of their
	// own.
	reservedPriorities = 2
	// minLevelTime is the time, or levelDelays delays of totals if that is
	// longer, over which entries limited to their shares use up the level of
	// the fleet, or make up for a negative one. If it were shorter than the
	// delay, the others would spend the same level again before they know.
	minLevelTime = time.Second
	levelDelays  = 2
	// urgentReserveTime is the time for which the demand of more urgent work is
	// reserved, up to reserveFraction of the burst for each priority.
	// prioritiesHalfLife is the time after which the work counted for it is
	// halved.
	urgentReserveTime  = time.Second
	prioritiesHalfLife = 20 * time.Second
	// overdraftFraction, as a part of what the allowance and the platform's
	// slack give in windowTime, is what all entries together may overdraw
	// their shares by while they use only these. Larger requests are admitted
	// by the entries whose turn it is, for turnTime each.
	overdraftFraction = 1.9
	turnTime          = 8 * time.Second
	// The platform tolerates windowTolerance of what an allowance gives in
	// windowTime, and the slack. Of that and the burst, entries that use only
	// their shares may accumulate what their debts leave, from one burst to
	// maxLocalBursts of them. The debts are estimated as overdrawnFraction of
	// one request for each entry.
	windowTime        = 8 * time.Second
	windowTolerance   = 0.1
	overdrawnFraction = 0.2
	maxLocalBursts    = 2
	// meanWorkWeight is the weight of the newest request in the mean size.
	meanWorkWeight = 0.05
	// localBurstTime is the time for which an entry may accumulate its share of
	// the rate.
	localBurstTime = 400 * time.Millisecond
	// idleDemandFraction is the part of the rate that is added to the demand of
	// every entry that is not silent when shares are computed. Otherwise an
	// entry without demand would have no share and refuse its first request.
	// Together it is no more than maxIdleDemand of the rate, so that it does not
	// outweigh the demand in large fleets.
	idleDemandFraction = 0.01
	maxIdleDemand      = 0.4
)

// SetName sets the name of this entry, which gives it its place in the order of
// turns.
func (q *Quota) SetName(name string) {
	h := fnv.New32a()
	// Write never returns an error.
	_, _ = h.Write([]byte(name))
	// FNV's low bits are spread better than its high ones.
	q.turn = float64(bits.Reverse32(h.Sum32())) / (1 << 32)
}

// updateShare sets what depends on the share of the entry, and returns the
// demand on all entries.
func (q *Quota) updateShare(now time.Time, v *peerView, b *bucket, customer string) (demand float64) {
	b.share, demand = q.demandShare(v, b, customer)
	// The burst of the silent entries counts as used.
	b.sideBurst = b.Burst * (1 - float64(len(v.silent))/float64(len(q.peers)+1))
	b.limit = q.localLimit(now, b, b.share)
	return demand
}

// localLimit returns how much of its share an entry may accumulate.
func (q *Quota) localLimit(now time.Time, b *bucket, share float64) float64 {
	if q.localOnly {
		n := q.fleetSize(now)
		tolerated := windowTolerance*(b.Rate*windowTime.Seconds()+b.Burst) + b.Burst + q.slack
		bursts := math.Min(math.Max((tolerated-overdrawnFraction*n*b.meanWork)/b.Burst, 1), maxLocalBursts)
		return bursts * b.sideBurst * share
	}
	return b.Rate * share * localBurstTime.Seconds()
}

// demandShare returns this entry's share of the demand on all entries that are not
// silent, and the total demand per second. Silent entries are assumed to use up
// their share.
func (q *Quota) demandShare(v *peerView, b *bucket, customer string) (localShare, demand float64) {
	idle := b.Rate * math.Min(idleDemandFraction, maxIdleDemand/float64(max(len(q.peers), q.expectedPeers)+1))
	demand = b.demand.Rate + v.demand[customer]
	// An entry whose demand is not known yet counts with the mean of the others.
	unknown := float64(v.active - v.known + max(q.expectedPeers-len(q.peers), 0))
	demand += unknown * demand / float64(v.known+1)
	sum := demand + idle*(float64(v.known+1)+unknown)
	demand += b.Rate * float64(len(v.silent)) / float64(len(q.peers)+1)
	if sum <= 0 {
		return 1, demand
	}
	return (b.demand.Rate + idle) / sum, demand
}

// countPriority counts requested work by priority.
func (b *bucket) countPriority(now time.Time, work float64, priority int) {
	if now.Sub(b.halvedAt) > prioritiesHalfLife {
		b.halvedAt = now
		for i := range b.byPriority {
			b.byPriority[i] /= 2
		}
	}
	if b.meanWork == 0 {
		b.meanWork = work
	}
	b.meanWork += meanWorkWeight * (work - b.meanWork)
	b.byPriority[min(max(priority, 0), reservedPriorities)] += work
}

// reserved returns the part of the burst that is reserved for work that is more
// urgent than a priority: as much as is requested of it, which this entry takes
// to be the same part of the demand everywhere.
func (b *bucket) reserved(priority int) float64 {
	priority = min(max(priority, 0), reservedPriorities)
	if priority == 0 || b.Burst <= 0 {
		return 0
	}
	urgent, all := 0.0, 0.0
	for i, work := range b.byPriority {
		all += work
		if i < priority {
			urgent += work
		}
	}
	if urgent <= 0 {
		return 0
	}
	return math.Min(reserveFraction*float64(priority), urgent/all*b.smoothedDemand*urgentReserveTime.Seconds()/b.Burst)
}

// mayOverdraw reports whether an entry that uses only its share may overdraw it
// by so much work, or how long to wait. If all entries may not do so together,
// they take turns, so that each overdraws by the same on average.
func (q *Quota) mayOverdraw(now time.Time, b *bucket, overdraft float64) (ok bool, wait time.Duration) {
	each := overdraftFraction * (b.Rate*windowTime.Seconds() + b.Burst + q.slack) / q.fleetSize(now)
	if overdraft <= each {
		return true, 0
	}
	slot := now.UnixNano() / int64(turnTime)
	// The golden ratio spreads an entry's turns evenly.
	if _, place := math.Modf(q.turn + float64(slot&0xffff)*math.Phi); place < each/overdraft {
		return true, 0
	}
	return false, time.Duration((slot+1)*int64(turnTime) - now.UnixNano())
}
