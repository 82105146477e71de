// Package placement decides which upstream of a service runs a request. It does no
// I/O and reads no clock: callers pass the time.
//
// The upstream with the lowest predicted cost is selected. For model engines the cost
// is the predicted time to the first event of the answer. It depends on the prompts
// queued on the engine, on the part of the request's prompt that is missing from its
// prefix cache, and on its free slots and memory. For plain services the cost is the
// time until a slot is free. The rules are designed for these load patterns:
//
//   - long prompts mixed with short ones: queued work is measured in tokens;
//   - many entries that act on the same stale reports: entries exchange the load that
//     they have on each upstream, and an entry's own load counts immediately;
//   - skewed prefixes: each shared prefix has a home upstream in every region, which
//     all entries determine independently, and spills over to others once the home's
//     queue costs more than computing the prefix again;
//   - upstreams that fail some of their requests or have stopped responding: failures
//     add to the cost, and their weight decays with time.
//
// Table is not safe for concurrent use.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/rendezvous"
	"jaylink/decision/upstreamlimit"
	"jaylink/decision/workmodel"
	"jaylink/serving"
)

// Weights of the predicted cost, in milliseconds unless stated otherwise.
const (
	// crossZoneCost and crossRegionCost are added for upstreams in another
	// availability zone of the entry's region and in another region. They cover the
	// round trip and the price of the traffic.
	crossZoneCost   = 2.0
	crossRegionCost = 40.0
	// recomputeWeight (a factor) multiplies the cost of tokens that were computed
	// before, because computing them again delays other requests and is paid for
	// twice.
	recomputeWeight = 2.0
	// runningCost is the time that each running request adds to a step of the engine.
	runningCost = 1.5
	// failureCost is the cost of a request that is certain to fail.
	failureCost = 2000.0
	// memoryThreshold is the share of an engine's memory beyond which it preempts
	// requests.
	memoryThreshold = 0.92
)

// Bounds on how long an unreachable upstream is avoided. The time doubles with each
// consecutive failure.
const (
	minAvoidTime = 400 * time.Millisecond
	maxAvoidTime = 6 * time.Second
	// failureHalfLife is the half-life of the failure rate of an upstream.
	failureHalfLife = 3 * time.Second
)

// maxCandidates bounds the number of upstreams that are examined for one request, so
// that the time of a decision does not grow with the fleet.
const (
	maxCandidates = 80
	// modelledCandidates is the bound for services whose requests the work model predicts,
	// which takes twice as long.
	modelledCandidates = 32
)

// defaultSlots is assumed for upstreams that do not state their number of slots.
const defaultSlots = 8

// Request holds the properties of a request that placement depends on.
type Request struct {
	Service *serving.Service
	// Prompt is nil for requests that do not generate text.
	Prompt *serving.Prompt
	// Zone is the availability zone of the entry.
	Zone string
	// Tried names upstreams that must not be selected.
	Tried []string
	// MaxRunning bounds the number of this entry's requests on one upstream, because
	// each takes a connection; 0 means no bound.
	MaxRunning int
	// TrueTime is the time that all entries agree on, by which they divide the limits of
	// upstreams.
	TrueTime time.Time
	// ServiceKey identifies the service in messages between entries. Priority and
	// Customer decide who uses the limits if all upstreams of the service are limited; 0
	// is the most urgent priority.
	ServiceKey uint32
	Priority   int
	Customer   string
	// Route names the request's route.
	Route string
	// Key is a hash of the request's ID. It spreads requests of different entries that find
	// several upstreams about equally good.
	Key uint64
	// PauseObjective is the tightest objective for the pause between two events of a stream
	// on the service's upstreams, or 0 if there is none.
	PauseObjective time.Duration
	// Versions restricts the versions that may run the request; nil allows all. IDHash
	// is a hash of the request's ID, which chooses between versions.
	Versions *Versions
	IDHash   uint64
	// group is the group of versions that is examined.
	group versionGroup
}

// Load is the work on an upstream.
type Load struct {
	// Running is the number of requests that were sent and have not ended.
	Running int
	// PrefillTokens is the number of their prompt tokens that still have to be processed
	// (prefilled). For long prompts it includes the additional cost of attention.
	PrefillTokens int
	// Memory is the number of tokens that the requests will hold in memory.
	Memory int
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.PrefillTokens += o.PrefillTokens
	l.Memory += o.Memory
}

func (l *Load) sub(o Load) {
	l.Running = max(l.Running-o.Running, 0)
	l.PrefillTokens = max(l.PrefillTokens-o.PrefillTokens, 0)
	l.Memory = max(l.Memory-o.Memory, 0)
}

// upstreamState is the table's view of one upstream.
type upstreamState struct {
	serving.Upstream
	hash uint64 // of the ID
	// instance identifies this run of the upstream.
	instance workmodel.Instance
	region   string
	// group is that of the upstream's version, if the service has a rollout.
	group versionGroup
	// ownLoad is the load from this entry.
	ownLoad Load
	// prefilling lists this entry's attempts that have had no first event yet.
	prefilling []*Ticket
	// peerLoad is the total load reported by the other entries.
	peerLoad Load
	cache    prefixCache
	// announced is nil if the upstream has announced nothing in its answers.
	announced *announcement
	// limit is nil if the upstream has stated no limit.
	limit *upstreamlimit.Limit
	// reported is the number of requests that the upstream itself reported at
	// reportedAt.
	reported   int
	reportedAt time.Time
	// slow is the slowdown of the upstream's host.
	slow slowdown

	// consecutiveFailures counts Unreachable outcomes since the last answer.
	consecutiveFailures int
	avoidUntil          time.Time
	// failureRate is a moving average of the failures, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
}

// Table holds the upstreams of all services.
type Table struct {
	regions   map[string]string           // by availability zone
	states    map[string]*upstreamState   // by upstream ID
	byService map[string][]*upstreamState // by service
	// readyCount is the number of upstreams of each service that take new requests.
	readyCount    map[string]int
	announcements map[instanceKey]*announcement
	// pausedStates lists the upstreams of each service that have asked for a pause.
	// Paused removes those whose pause has ended.
	pausedStates map[string][]*upstreamState
	limits       *upstreamlimit.Limits
	// limitedStates lists the upstreams counted in readyCount that are limited.
	limitedStates map[string][]*upstreamState
	// homeCandidates lists the upstreams counted in readyCount by service and region,
	// without limited ones where there are others.
	homeCandidates map[homesKey][]homeCandidate
	// peerReports holds the latest loads reported by each of the other entries.
	peerReports map[string][]peerReport
	// sampleOffset is the index at which sample last stopped, and sampled its reused
	// buffer.
	sampleOffset int
	sampled      []*upstreamState
	estimates    map[string]*speedEstimate // by service
	// sharedHosts holds the services whose upstreams report a slowdown.
	sharedHosts map[string]bool
	model       *workmodel.Model
	// groups holds the upstreams of services with a rollout by their versions.
	groups map[string]*versionGroups
}

// NewTable returns an empty table. The argument regions maps availability zones to
// regions.
func NewTable(regions map[string]string) *Table {
	return &Table{
		regions: regions, states: map[string]*upstreamState{}, byService: map[string][]*upstreamState{}, readyCount: map[string]int{},
		announcements: map[instanceKey]*announcement{}, pausedStates: map[string][]*upstreamState{}, limitedStates: map[string][]*upstreamState{},
		homeCandidates: map[homesKey][]homeCandidate{}, peerReports: map[string][]peerReport{}, estimates: map[string]*speedEstimate{}, sharedHosts: map[string]bool{}, model: workmodel.New(),
	}
}

// homesKey identifies a set of upstreams, one of which is the home of a shared prefix.
type homesKey struct{ service, region string }

// homeCandidate is an upstream with a copy of its hash, so that finding a home reads
// memory sequentially.
type homeCandidate struct {
	hash  uint64
	state *upstreamState
}

// SetUpstreams replaces the set of upstreams. The state of instances that remain in
// the set is kept.
func (t *Table) SetUpstreams(list []serving.Upstream) {
	next := make(map[string]*upstreamState, len(list))
	clear(t.byService)
	clear(t.readyCount)
	clear(t.homeCandidates)
	clear(t.pausedStates)
	clear(t.limitedStates)
	t.groups = nil
	limitedHomes := map[homesKey][]homeCandidate{}
	for _, u := range list {
		s := t.states[u.ID]
		if s == nil || s.StartMillis != u.StartMillis || s.Address != u.Address {
			s = &upstreamState{hash: xxhash.Sum64String(u.ID), instance: u.Instance()}
		}
		s.Upstream, s.region, s.announced = u, t.regions[u.Zone], t.announcements[instanceKeyOf(&u)]
		s.limit = t.limitOf(s)
		next[u.ID] = s
		t.byService[u.Service] = append(t.byService[u.Service], s)
		if s.announced != nil && !s.announced.pausedUntil.IsZero() {
			t.pausedStates[u.Service] = append(t.pausedStates[u.Service], s)
		}
		if !s.leaving() {
			t.readyCount[u.Service]++
			key := homesKey{u.Service, s.region}
			if s.limit != nil {
				t.limitedStates[u.Service] = append(t.limitedStates[u.Service], s)
				limitedHomes[key] = append(limitedHomes[key], homeCandidate{s.hash, s})
				continue
			}
			t.homeCandidates[key] = append(t.homeCandidates[key], homeCandidate{s.hash, s})
		}
	}
	for key, candidates := range limitedHomes {
		if t.homeCandidates[key] == nil {
			t.homeCandidates[key] = candidates
		}
	}
	t.states = next
	listed := make(map[workmodel.Instance]bool, len(next))
	for _, s := range next {
		listed[s.instance] = true
	}
	t.model.Retain(func(i workmodel.Instance) bool { return listed[i] })
}

// Count returns the number of upstreams of a service that take new requests.
func (t *Table) Count(service string) int { return t.readyCount[service] }

// Choice is the upstream selected for a request.
type Choice struct {
	Upstream serving.Upstream
	// Predicted is the predicted time until the first event or, on plain services,
	// until a slot is free.
	Predicted time.Duration
	// PredictedIdle is the part of Predicted that the request would take on an idle
	// upstream.
	PredictedIdle time.Duration
	// PredictedHigh is a high quantile of the time to the first event. Pause and PauseHigh are
	// the predicted longest time between two events and a high quantile of it. They are 0
	// where these are not predicted.
	PredictedHigh, Pause, PauseHigh time.Duration
	// Slowdown is the time that work takes on the upstream's host in relation to the usual, or
	// 0 if the upstream does not report it.
	Slowdown float64
	// Load is the load that the request adds to the upstream.
	Load Load
	// Running is the number of requests already on the upstream.
	Running int
	// Limited is set if the upstream has stated a limit, and Limit is that limit in
	// requests per second.
	Limited bool
	Limit   float64
	// cachedTokens is the number of prompt tokens that are probably in the
	// upstream's prefix cache.
	cachedTokens int
	// work and beside are what the work model was asked, if it predicted the request.
	work   workmodel.Work
	beside workmodel.Beside
}

// Pick returns the upstream with the lowest cost, or false if no upstream can take
// the request.
func (t *Table) Pick(now time.Time, r *Request) (Choice, bool) {
	if r.Versions != nil {
		return t.pickByVersion(now, r)
	}
	return t.pick(now, r)
}

func (t *Table) pick(now time.Time, r *Request) (Choice, bool) {
	list := t.candidates(r)
	home := t.home(r)
	if len(list) > maxCandidates {
		if best, ok := t.cheapest(now, r, t.sample(list, home, t.sampleSize(r)), home); ok {
			return best, true
		}
	}
	return t.cheapest(now, r, list, home)
}

// Modelled reports whether the work model predicts the prompts of a service, whose upstreams
// report how long work takes on their hosts.
func (t *Table) Modelled(service string) bool { return t.sharedHosts[service] }

// sampleSize returns the number of upstreams of a large service that are examined for a
// request.
func (t *Table) sampleSize(r *Request) int {
	if t.isModelled(r) {
		return modelledCandidates
	}
	return maxCandidates
}

// isModelled reports whether the work model predicts the request: prompts on upstreams that
// report how long work takes on their hosts.
func (t *Table) isModelled(r *Request) bool { return r.Prompt != nil && t.Modelled(r.Service.Name) }

// sample returns n upstreams of a large service in round-robin order, plus the home of the
// request's prefix.
func (t *Table) sample(list []*upstreamState, home *upstreamState, n int) []*upstreamState {
	t.sampled = t.sampled[:0]
	if home != nil {
		t.sampled = append(t.sampled, home)
	}
	for range n {
		t.sampleOffset = (t.sampleOffset + 1) % len(list)
		t.sampled = append(t.sampled, list[t.sampleOffset])
	}
	return t.sampled
}

// cheapest returns the upstream with the lowest cost among those of a list that can
// take the request.
func (t *Table) cheapest(now time.Time, r *Request, list []*upstreamState, home *upstreamState) (Choice, bool) {
	est := t.estimate(r.Service.Name)
	level := t.urgencyLevel(now, r)
	shared := t.isModelled(r)
	best, bestCost := Choice{}, math.Inf(1)
	for _, s := range list {
		if s.leaving() || s.paused(now) || slices.Contains(r.Tried, s.ID) || r.MaxRunning > 0 && s.ownLoad.Running >= r.MaxRunning ||
			!t.permitted(r, s, level) {
			continue
		}
		load, cached, recomputed := s.addedLoad(r, s == home)
		var wait, recomputeMs float64
		var p prediction
		if shared {
			p = t.predict(now, r, s, cached)
			wait, recomputeMs = p.firstMs(), float64(recomputed)*est.prefillMs
		} else {
			wait, recomputeMs = s.predictWaitMs(now, r, load, est), float64(recomputed)/est.tokensPerMs
		}
		cost := wait + recomputeWeight*recomputeMs + t.networkCost(r.Zone, s) + s.decayedFailureRate(now)*failureCost + t.limitCost(r, s)
		if now.Before(s.avoidUntil) {
			cost += failureCost
		}
		if shared {
			cost += s.pauseCost(now, r, load, est) + spread(r, s)
		}
		if cost < bestCost {
			bestCost = cost
			best = Choice{
				Upstream: s.Upstream, Load: load, cachedTokens: cached, Running: s.running(now),
				Predicted: millis(wait), PredictedIdle: millis(est.baseMs + float64(load.PrefillTokens)/est.tokensPerMs),
			}
			if shared {
				best.addPrediction(p)
			}
			if s.limit != nil {
				best.Limited, best.Limit = true, s.limit.PerSecond
			}
		}
	}
	if shared && !math.IsInf(bestCost, 1) {
		best.PredictedIdle = t.model.Predict(best.Upstream.Instance(), &best.work, workmodel.Beside{Slots: best.Upstream.Slots}).First
	}
	return best, !math.IsInf(bestCost, 1)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// home returns the home of the request's shared prefix in the entry's region, or nil.
// It is chosen by rendezvous hashing, so that all entries of a region that know the
// same upstreams agree on it.
func (t *Table) home(r *Request) *upstreamState {
	if r.Prompt == nil || len(r.Prompt.Parts) < 2 {
		return nil
	}
	key := r.Prompt.Parts[len(r.Prompt.Parts)-2].Hash
	var home *upstreamState
	var weight uint64
	for _, c := range t.homeCandidates[homesKey{r.Service.Name, t.regions[r.Zone]}] {
		if r.Versions != nil && c.state.group != r.group {
			continue
		}
		if w := rendezvous.Mix(key ^ c.hash); home == nil || w > weight {
			home, weight = c.state, w
		}
	}
	return home
}

// addedLoad returns the load that a request adds to an upstream, the number of its
// prompt tokens that are probably cached there, and the number of tokens in shared
// parts that are not and have to be recomputed. On the home of the prefix, shared
// parts are assumed to be cached.
func (s *upstreamState) addedLoad(r *Request, home bool) (load Load, cached, recomputed int) {
	if r.Prompt == nil {
		return Load{Running: 1}, 0, 0
	}
	parts := r.Prompt.Parts
	for i, part := range parts {
		last := i == len(parts)-1
		if !s.cache.has(part.Hash) && (last || !home) {
			break
		}
		cached += part.Tokens
	}
	shared := 0
	for _, part := range r.Prompt.Shared() {
		shared += part.Tokens
	}
	unread := max(r.Prompt.Input-cached, 0)
	return Load{Running: 1, PrefillTokens: withAttention(unread, r.Prompt.Input), Memory: r.Prompt.Input + r.Prompt.MaxOutput}, cached, max(shared-cached, 0)
}
