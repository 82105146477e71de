// Package rollout decides how much of a service's traffic goes to a new version, and when
// the rollout is completed or rolled back. It does no I/O and reads no clock.
//
// The load patterns that it handles:
//
//   - versions that are bad at once, later, only under load, or on one route only: failures
//     and latencies are compared by route, with the old version's of the same time;
//   - load that makes both versions slow: it is not held against the new one;
//   - counts that arrive late, twice or out of order, and entries that fall silent: counts
//     are totals, and exposure does not grow while much of the fleet is silent;
//   - services with few requests: the fixed part of the bound is used to expose more.
//
// Exposure stays low until the end: the requests of the new version may be only a small
// share of all, and a version may turn bad at any time. Shortly before the end all new
// requests go to it, so that the old upstreams, which stop at once, have little left to do.
//
// Rollout is not safe for concurrent use.
package rollout

import (
	"math"
	"time"
)

// State is the state of a rollout, as in the status of its object.
type State string

// The states of a rollout. Completed and RolledBack are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Final reports whether the state never changes.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Reasons of a decision.
const (
	ReasonFailures  = "failures"
	ReasonSlow      = "slow_answers"
	ReasonPauses    = "long_pauses"
	ReasonStep      = "step"
	ReasonEvidence  = "too_few_answers"
	ReasonStore     = "store_unavailable"
	ReasonSilence   = "silent_entries"
	ReasonDrain     = "draining_old"
	ReasonCompleted = "no_difference_found"
)

// Bounds are what a bad version may get, at most.
type Bounds struct {
	// Share of all requests of the service plus Slack requests.
	Share, Slack float64
}

// Order is the operator's order.
type Order struct {
	Service, Target string
	Duration        time.Duration
	Bounds          Bounds
}

// Decision is the current exposure of the new version, from 0 to 1, and state.
type Decision struct {
	Exposure float64
	State    State
	Reason   string
	// Route is the route that the new version was rejected for, "" if it was for all.
	Route string
}

const (
	// feedback is the time after which a changed exposure shows in the counts of all
	// entries, at most.
	feedback = 2 * time.Second
	// silentAfter is the time after its last report from which on an entry is silent.
	// Forward steps need all entries but one, or four fifths, to be heard.
	silentAfter = 3 * time.Second
	// forgetAfter is the time after which a silent entry is taken for a removed one.
	forgetAfter = time.Minute
	// slackUse is the part of the slack that is planned to be used.
	slackUse = 0.8
	// minAnswers is the number of answers of the new version without which it isn't
	// completed. A version with a third of bad answers is rejected after about 15.
	minAnswers = 15
	// minStepTime is the time of a step, as a fraction of the duration, and minStepAnswers
	// the number of answers of the new version in it.
	minStepTime    = 0.08
	minStepAnswers = 1
	// maxGrowth is the number of requests by which a report may grow; an entry serves
	// some hundred a second.
	maxGrowth = 100_000
	// maxEntries and maxRoutes limit the memory.
	maxEntries = 1024
	maxRoutes  = 64
)

// step is an exposure, in units of Bounds.Share, from a fraction of the time on.
type step struct{ from, exposure float64 }

// steps keep the sum of all requests of the new version at most Bounds.Share of all: the
// small first steps leave room for the last one, which puts load on the new version.
var steps = [...]step{{0, 0.3}, {0.1, 0.6}, {0.33, 1}, {0.5, 2}}

// entryCounts is what is known of one entry.
type entryCounts struct {
	counts map[Key]Counts
	heard  time.Time
	// gone is set once the process has ended or is about to.
	gone bool
}

// Rollout is the state of one rollout.
type Rollout struct {
	order   Order
	started time.Time
	entries map[string]*entryCounts
	// pending holds what has been reported since the last step.
	pending  map[Key]Counts
	evidence map[string]*routeEvidence
	routes   []string
	// sent and all are the requests of the new version and of both.
	sent, all, answered int
	storeLost           bool
	step                int
	stepped             time.Time
	// answeredBefore is the number of the new version's answers before the current step.
	answeredBefore int
	draining       time.Time
	decision       Decision
}

// New returns a rollout that was ordered at a time.
func New(order Order, now time.Time) *Rollout {
	return &Rollout{
		order: order, started: now, stepped: now, entries: map[string]*entryCounts{}, pending: map[Key]Counts{},
		evidence: map[string]*routeEvidence{}, decision: Decision{State: Running, Reason: ReasonStep},
	}
}

// Observe records what an entry has counted since its start. The counts of a restarted
// entry need another name.
func (r *Rollout) Observe(now time.Time, entry string, c map[Key]Counts) {
	e := r.entries[entry]
	if e == nil {
		if len(r.entries) >= maxEntries {
			return
		}
		e = &entryCounts{counts: map[Key]Counts{}}
		r.entries[entry] = e
	}
	e.heard, e.gone = now, false
	for key, next := range c {
		known, seen := e.counts[key]
		if !seen && len(e.counts) >= 4*maxRoutes {
			continue
		}
		added, after := growth(known, next)
		e.counts[key] = after
		total := r.pending[key]
		total.add(added)
		r.pending[key] = total
	}
}

// Gone records that an entry's process has ended or is about to, so that its silence does
// not stop the rollout. Its counts stay.
func (r *Rollout) Gone(entry string) {
	if e := r.entries[entry]; e != nil {
		e.gone = true
	}
}

// SetStore records whether the store answers. Without it there is no step forward.
func (r *Rollout) SetStore(reachable bool) { r.storeLost = !reachable }

// Resume continues from what another entry decided: its state and exposure.
func (r *Rollout) Resume(now time.Time, state State, exposure float64) {
	if r.decision.State.Final() || !(exposure >= 0 && exposure <= 1) {
		return
	}
	if state.Final() {
		r.finish(state, "")
		return
	}
	if exposure == 1 && r.draining.IsZero() {
		r.draining = now
	}
	for r.step+1 < len(steps) && r.exposureOf(steps[r.step+1], 0) <= exposure {
		r.step++
	}
	r.decision.Exposure = exposure
}

// Step returns the decision at a time.
func (r *Rollout) Step(now time.Time) Decision {
	if r.decision.State.Final() {
		return r.decision
	}
	r.weigh(now)
	m := mix(r.routes, r.evidence)
	if m.rejects() {
		r.finish(RolledBack, testName(m.test))
		r.decision.Route = m.route
		return r.decision
	}
	if hold := r.holdReason(now); hold != "" {
		r.decision.Reason = hold
		if r.draining.IsZero() {
			r.decision.Exposure = min(r.decision.Exposure, r.affordable(now))
		}
		return r.decision
	}
	r.advance(now, m.suspects())
	return r.decision
}

// weigh adds the pending counts to the evidence. The first counts of a route wait until
// the old version's answers show what is usual there.
func (r *Rollout) weigh(now time.Time) {
	for key, c := range r.pending {
		r.all += c.Requests
		if key.Version == r.order.Target {
			r.sent += c.Requests
			r.answered += c.outcomes()
		}
		r.addToRoute(key, c)
	}
	clear(r.pending)
	var failures rate
	for _, name := range r.routes {
		e := r.evidence[name]
		failures.add(e.old.Failures+e.waitingOld.Failures, e.old.outcomes()+e.waitingOld.outcomes())
	}
	share := (failures.bad + 0.5) / (failures.all + 50)
	waits := now.Sub(r.started) < r.order.Duration/4
	for _, name := range r.routes {
		e := r.evidence[name]
		if !e.begun && waits && e.waitingOld.answers(FirstEvent) < minReference {
			continue
		}
		e.observe(e.waitingNew, e.waitingOld, share)
		e.waitingNew, e.waitingOld = Counts{}, Counts{}
	}
}

// addToRoute adds counts to those of their route that are not yet weighed.
func (r *Rollout) addToRoute(key Key, c Counts) {
	e := r.evidence[key.Route]
	if e == nil {
		if len(r.routes) >= maxRoutes {
			return
		}
		e = &routeEvidence{}
		r.evidence[key.Route] = e
		r.routes = append(r.routes, key.Route)
	}
	if key.Version == r.order.Target {
		e.waitingNew.add(c)
		return
	}
	e.waitingOld.add(c)
}

// holdReason returns why no step forward is possible, or "".
func (r *Rollout) holdReason(now time.Time) string {
	if r.storeLost {
		return ReasonStore
	}
	silent, alive := 0, 0
	for name, e := range r.entries {
		switch quiet := now.Sub(e.heard); {
		case quiet > forgetAfter:
			delete(r.entries, name)
		case e.gone:
		case quiet > silentAfter:
			silent++
			alive++
		default:
			alive++
		}
	}
	if silent > max(1, alive/5) {
		return ReasonSilence
	}
	return ""
}

// advance makes the next step if it is due.
func (r *Rollout) advance(now time.Time, suspected bool) {
	fraction := float64(now.Sub(r.started)) / float64(r.order.Duration)
	last := fraction >= r.lastFraction()
	switch {
	case !r.draining.IsZero():
		if last || now.Sub(r.draining) >= r.drainTime() {
			r.finish(Completed, ReasonCompleted)
		}
		return
	case r.answered >= minAnswers && last:
		r.finish(Completed, ReasonCompleted)
		return
	case r.answered >= minAnswers && !suspected && fraction >= r.drainFrom():
		r.draining = now
		r.decision = Decision{Exposure: 1, State: Running, Reason: ReasonDrain}
		return
	}
	r.decision.Reason = ReasonStep
	if fraction >= r.drainFrom() {
		r.decision.Reason = ReasonEvidence
	}
	if r.step+1 < len(steps) && fraction >= steps[r.step+1].from && r.hasSeenStep(now) {
		r.step, r.stepped, r.answeredBefore = r.step+1, now, r.answered
	}
	r.decision.Exposure = min(r.exposureOf(steps[r.step], r.expected(now)), r.affordable(now))
}

// hasSeenStep reports whether the current step has lasted and has shown an answer. The
// upstreams of the new version may start late.
func (r *Rollout) hasSeenStep(now time.Time) bool {
	return float64(now.Sub(r.stepped)) >= minStepTime*float64(r.order.Duration) && r.answered-r.answeredBefore >= minStepAnswers
}

// lastFraction is the fraction of the time after which a rollout is completed in any case.
// What is left covers the write of the status and its repetition.
func (r *Rollout) lastFraction() float64 {
	reserve := min(max(r.order.Duration/8, time.Second), 3*time.Second)
	return max(1-float64(reserve)/float64(r.order.Duration), 0.6)
}

// drainFrom is the fraction of the time from which on the old upstreams drain.
func (r *Rollout) drainFrom() float64 {
	return r.lastFraction() - float64(r.drainTime())/float64(r.order.Duration)
}

// drainTime is the time for which all new requests go to the new version before the old
// upstreams stop.
func (r *Rollout) drainTime() time.Duration {
	return min(r.order.Duration/6, 2*time.Second)
}

// expected returns the number of requests that are expected over the whole rollout, or 0
// while that is unknown.
func (r *Rollout) expected(now time.Time) float64 {
	passed := now.Sub(r.started)
	if passed < feedback/2 {
		return 0
	}
	return float64(r.all) * float64(r.order.Duration) / float64(passed)
}

// exposureOf returns the exposure of a step. Where few requests are expected, a part of the
// slack is spread over them.
func (r *Rollout) exposureOf(s step, expected float64) float64 {
	e := s.exposure * r.order.Bounds.Share
	if expected >= 1 {
		e += min(slackUse*r.order.Bounds.Slack/expected, 2*r.order.Bounds.Share)
	}
	return min(e, 0.5)
}

// affordable returns the exposure that keeps the bound until the effect of a later change
// shows in the counts.
func (r *Rollout) affordable(now time.Time) float64 {
	soon := 0.0
	if passed := now.Sub(r.started); passed > 0 {
		soon = float64(r.all) * float64(feedback) / float64(max(passed, feedback))
	}
	b := r.order.Bounds
	left := b.Share*(float64(r.all)+soon) + slackUse*b.Slack - float64(r.sent)
	if left <= 0 {
		return 0
	}
	return min(left/math.Max(soon, 1), 1)
}

func (r *Rollout) finish(state State, reason string) {
	exposure := 0.0
	if state == Completed {
		exposure = 1
	}
	r.decision = Decision{Exposure: exposure, State: state, Reason: reason}
}

// Rejects weighs what has been observed and reports whether it rejects the new version. An
// entry that does not decide stops using the version then, until it hears of a decision.
func (r *Rollout) Rejects(now time.Time) bool {
	if r.decision.State.Final() {
		return r.decision.State == RolledBack
	}
	r.weigh(now)
	return mix(r.routes, r.evidence).rejects()
}
