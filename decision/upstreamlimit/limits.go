package upstreamlimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant smooths the demand that an entry tells the others, and
	// demandInterval is the least time between two changes of what it tells.
	demandTimeConstant = 3 * time.Second
	demandInterval     = 500 * time.Millisecond
	// demandTolerance is the relative change of the demand from which on the others are
	// told a new figure. While figures are on their way, entries divide differently.
	demandTolerance = 0.3
	// After its start or a suspension, a process takes no permits for minSettleTime and
	// until it has heard knownShare of the other entries, but at most for settleCycles
	// gossip cycles. It does not know how the others divide the limits before.
	minSettleTime = 800 * time.Millisecond
	knownShare    = 0.9
	settleCycles  = 2
	// maxTickGap is the time between two calls of Tick from which on the process counts
	// as having been suspended.
	maxTickGap = 1500 * time.Millisecond
	// newsTime is how long a changed statement is told with every message, and maxNews
	// and maxOld are the numbers of changed and other statements in one message.
	newsTime = 3 * time.Second
	maxNews  = 32
	maxOld   = 8
	// retention is how long the statement of an instance that is not listed is kept, and
	// how long it is remembered that an instance has no limit any more.
	retention = time.Minute
	// maxStatements bounds the statements that are kept. It exceeds the number of
	// upstreams of any deployment.
	maxStatements = 4096
	// confirmedTime is how long an upstream that states a limit is used less than others
	// after its last statement.
	confirmedTime = 10 * time.Second
	// maxWait limits the waiting time that refused requests are told.
	maxWait = 5 * time.Second
)

// Limits is one entry's view of all limits. It is not safe for concurrent use.
type Limits struct {
	self    string
	limits  map[uint64]*Limit
	changed map[uint64]time.Time // when the statement last changed
	// rotation is the position in the sorted instances from which old statements are told
	// next.
	rotation int
	members  map[string]*member
	// ordered lists the members by position.
	ordered []*member
	// divisions caches the divisions by service.
	divisions map[uint32]*division
	cycle     time.Duration
	demands   map[uint32]*demand
	// expected is the number of other entries that are known to exist.
	expected int
	// resumedAt is when the process was started or resumed after a suspension, and
	// lastTick the time of the latest call of Tick.
	resumedAt, lastTick time.Time
	queues              map[uint32]*queue
}

// demand measures the requests of one service.
type demand struct {
	smoothed    float64
	at          time.Time
	announced   float64
	announcedAt time.Time
}

// New returns the Limits of the entry with a name.
func New(self string) *Limits {
	return &Limits{
		self: self, limits: map[uint64]*Limit{}, changed: map[uint64]time.Time{}, members: map[string]*member{},
		divisions: map[uint32]*division{}, demands: map[uint32]*demand{}, queues: map[uint32]*queue{},
	}
}

// Tick must be called at least once a second. A longer gap shows that the process was
// suspended.
func (l *Limits) Tick(now time.Time) {
	if l.suspended(now) {
		if !l.lastTick.IsZero() {
			l.shiftSilence(now.Sub(l.lastTick))
		}
		l.resumedAt = now
	}
	l.lastTick = now
}

// shiftSilence excuses the silence of the other entries during a suspension of this one.
func (l *Limits) shiftSilence(gap time.Duration) {
	for _, m := range l.members {
		m.lastHeard = m.lastHeard.Add(gap)
	}
}

func (l *Limits) suspended(now time.Time) bool { return now.Sub(l.lastTick).Abs() > maxTickGap }

// settling reports whether the process does not know the other entries yet.
func (l *Limits) settling(now time.Time) bool {
	running := now.Sub(l.resumedAt)
	switch {
	case l.suspended(now) || running < minSettleTime:
		return true
	case running >= settleCycles*l.cycle:
		return false
	}
	return float64(len(l.members)) < knownShare*float64(l.expected)
}

// Change is a change of an upstream's limit. Nil stands for no limit.
type Change struct {
	Previous, Current *float64
}

// Answer records what an upstream stated in an answer, nil for no limit, to a request
// that was sent and whose answer arrived at the given times. The change is nil if
// the limit stays as it was.
func (l *Limits) Answer(instance uint64, perSecond *float64, sent, arrived time.Time) *Change {
	current := l.statement(instance)
	if perSecond == nil && !current.Limited {
		return nil
	}
	return l.set(arrived, fromAnswer(instance, perSecond, current, sent, arrived))
}

// Merge records a statement that another entry told. The change is nil if the limit stays
// as it was.
func (l *Limits) Merge(now time.Time, s Statement) *Change {
	if s.At.After(now.Add(maxFuture)) || math.IsNaN(s.PerSecond) {
		return nil
	}
	return l.set(now, s)
}

func (l *Limits) statement(instance uint64) Statement {
	if limit := l.limits[instance]; limit != nil {
		return limit.Statement
	}
	return Statement{Instance: instance}
}

func (l *Limits) set(now time.Time, s Statement) *Change {
	limit := l.limits[s.Instance]
	if limit == nil {
		l.prune(now)
		limit = &Limit{Statement: Statement{Instance: s.Instance}}
		l.limits[s.Instance] = limit
	}
	previous := limit.Statement
	if !s.supersedes(previous) {
		return nil
	}
	limit.Statement = s
	if s.sameLimit(previous) {
		return nil
	}
	// Permits are numbered by the rate, so those of the earlier limit are void.
	limit.held, limit.nextPermit = time.Time{}, 0
	if s.Limited {
		limit.nextPermit = limit.number(now) + 1
	}
	l.changed[s.Instance] = now
	return &Change{previous.value(), s.value()}
}

func (s Statement) value() *float64 {
	if !s.Limited {
		return nil
	}
	return &s.PerSecond
}

// prune makes room for one more statement.
func (l *Limits) prune(now time.Time) {
	if len(l.limits) < maxStatements {
		return
	}
	oldest := slices.MinFunc(l.instances(), func(a, b uint64) int { return l.limits[a].At.Compare(l.limits[b].At) })
	l.forget(oldest)
}

func (l *Limits) forget(instance uint64) {
	delete(l.limits, instance)
	delete(l.changed, instance)
}

// Expire forgets old statements: of instances that are not listed, and that an instance
// has no limit any more.
func (l *Limits) Expire(now time.Time, listed func(instance uint64) bool) {
	for instance, limit := range l.limits {
		if now.Sub(limit.At) > retention && !(limit.Limited && listed(instance)) {
			l.forget(instance)
		}
	}
}

// Of returns the limit on an instance, or nil if it has none that matters.
func (l *Limits) Of(instance uint64) *Limit {
	if limit := l.limits[instance]; limit != nil && limit.Limited && limit.PerSecond <= maxRate {
		return limit
	}
	return nil
}

// Count returns the number of limited instances.
func (l *Limits) Count() int {
	n := 0
	for _, limit := range l.limits {
		if limit.Limited {
			n++
		}
	}
	return n
}

// Available reports whether this entry has a permit for a request of a service at an
// upstream. Level is the urgency of the request if permits are scarce, from 0, the most
// urgent, and 0 if they are not.
func (l *Limits) Available(now time.Time, limit *Limit, service uint32, level int) bool {
	if l.settling(now) {
		limit.skip(now)
		return false
	}
	limit.skip(l.resumedAt.Add(minSettleTime))
	return limit.available(now, l.division(now, service), level)
}

// Take uses a permit, after Available has returned true.
func (l *Limits) Take(limit *Limit) Permit { return limit.take() }

// GiveBack returns a permit that was taken and not used. It can be taken again until it
// expires, unless the limit has changed or another permit has been found since.
func (l *Limits) GiveBack(limit *Limit, p Permit) { limit.giveBack(p) }

// Recent reports whether a limit was stated or confirmed a short time ago.
func (l *Limits) Recent(now time.Time, limit *Limit) bool { return now.Sub(limit.At) <= confirmedTime }

// Share returns this entry's share of the limits of a service's upstreams.
func (l *Limits) Share(now time.Time, service uint32) float64 { return l.division(now, service).share }

// CountRequest counts a request that a caller has sent for a service.
func (l *Limits) CountRequest(now time.Time, service uint32) {
	d := l.demands[service]
	if d == nil {
		d = &demand{at: now}
		l.demands[service] = d
	}
	d.decay(now)
	d.smoothed += 1 / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.smoothed *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		d.at = now
	}
}

// announcedDemand returns the demand that the others were told of. This entry uses the
// same figure, so that all divide the limits in the same way.
func (l *Limits) announcedDemand(service uint32) float64 {
	if d := l.demands[service]; d != nil {
		return d.announced
	}
	return 0
}

// Demand returns this entry's requests per second by service, to be told to the others.
func (l *Limits) Demand(now time.Time) map[uint32]float64 {
	out := make(map[uint32]float64, len(l.demands))
	for service, d := range l.demands {
		if now.Sub(d.announcedAt) >= demandInterval {
			d.decay(now)
			d.announcedAt = now
			if math.Abs(d.smoothed-d.announced) > demandTolerance*d.announced {
				d.announced = math.Round(d.smoothed*10) / 10
			}
		}
		out[service] = d.announced
	}
	return out
}

// FleetDemand returns the requests per second that the callers of all entries send for a
// service, as far as the entries tell.
func (l *Limits) FleetDemand(now time.Time, service uint32) float64 {
	sum := l.announcedDemand(service)
	for _, m := range l.activeMembers(now) {
		demand, _ := m.demandFor(service)
		sum += demand
	}
	return sum
}

// HasNews reports whether a statement has changed a short time ago.
func (l *Limits) HasNews(now time.Time) bool {
	for _, at := range l.changed {
		if now.Sub(at) <= newsTime {
			return true
		}
	}
	return false
}

// News returns the statements to be told in one message: those that changed a short time
// ago, the latest first, and some of the others in turn.
func (l *Limits) News(now time.Time) []Statement {
	if len(l.limits) == 0 {
		return nil
	}
	var recent, old []uint64
	for _, instance := range l.instances() {
		if now.Sub(l.changed[instance]) <= newsTime {
			recent = append(recent, instance)
		} else if l.limits[instance].Limited {
			old = append(old, instance)
		}
	}
	slices.SortStableFunc(recent, func(a, b uint64) int { return l.changed[b].Compare(l.changed[a]) })
	out := make([]Statement, 0, maxNews+maxOld)
	for _, instance := range recent[:min(len(recent), maxNews)] {
		out = append(out, l.limits[instance].Statement)
	}
	for range min(len(old), maxOld) {
		l.rotation = (l.rotation + 1) % len(old)
		out = append(out, l.limits[old[l.rotation]].Statement)
	}
	return out
}

// instances returns the known instances in ascending order.
func (l *Limits) instances() []uint64 {
	list := make([]uint64, 0, len(l.limits))
	for instance := range l.limits {
		list = append(list, instance)
	}
	slices.SortFunc(list, cmp.Compare)
	return list
}
