// Package placement decides which upstream of a service runs a request. It is
// pure: it does no I/O and reads no clock; times are the caller's.
//
// The upstream with the lowest predicted cost wins. For model engines that is
// the time to the first event: what has to be read there first, what the
// request itself lacks in the engine's prefix cache, slots and memory. For plain
// services it is the time until a slot is free. Load patterns answered:
//
//   - long prompts beside short ones: waiting work counts in tokens;
//   - many entries with the same stale reports: entries tell each other what
//     they have on each upstream, and own work counts at once;
//   - skewed prefixes: each shared prefix has a home upstream in every region,
//     chosen alike by all entries, and spills over once the home's queue costs
//     more than reading the prefix again;
//   - upstreams that fail part of their requests, or have gone silent: failures
//     raise the cost and fade with time.
//
// Table is not safe for concurrent use.
package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/serving"
)

// Weights of the predicted cost, in milliseconds unless stated.
const (
	// sameRegionCost and otherRegionCost are added for upstreams outside the
	// entry's availability zone: the round trip, and the paid link.
	sameRegionCost  = 2.0
	otherRegionCost = 40.0
	// rereadWeight multiplies tokens that were read before: they hold up other
	// requests and are paid for twice.
	rereadWeight = 2.0
	// runningCost is what each running request adds to a step of the engine.
	runningCost = 1.5
	// failureCost is the cost of a request that fails for certain.
	failureCost = 2000.0
	// fullMemory is the part of an engine's memory beyond which requests are
	// preempted.
	fullMemory = 0.92
)

// Bounds on how long a failing upstream is avoided; the time doubles with each
// failure in a row.
const (
	avoidBase = 400 * time.Millisecond
	avoidMax  = 6 * time.Second
	// failureFade is the time in which the memory of failures halves.
	failureFade = 3 * time.Second
)

// maxLooked is how many upstreams are looked at for one request, so that the time
// of a decision does not grow with the fleet.
const maxLooked = 80

// assumedSlots is taken for upstreams that state none.
const assumedSlots = 8

// Request is what placement knows about a request.
type Request struct {
	Service *serving.Service
	// Prompt is nil for requests that are not generations.
	Prompt *serving.Prompt
	// Zone is that of the entry.
	Zone string
	// Tried names upstreams that the request must not go to.
	Tried []string
	// MaxRunning bounds this entry's requests on one upstream, each of which
	// takes a connection; 0 is no bound.
	MaxRunning int
}

// Load is the work on an upstream.
type Load struct {
	// Running counts requests that were sent and are not finished.
	Running int
	// Unread is the prompt tokens that have to be read for them, those of long
	// prompts raised by what attention adds.
	Unread int
	// Memory is the tokens that they will hold.
	Memory int
}

func (l *Load) add(o Load) {
	l.Running += o.Running
	l.Unread += o.Unread
	l.Memory += o.Memory
}

func (l *Load) sub(o Load) {
	l.Running = max(l.Running-o.Running, 0)
	l.Unread = max(l.Unread-o.Unread, 0)
	l.Memory = max(l.Memory-o.Memory, 0)
}

// place is what the table believes about one upstream.
type place struct {
	serving.Upstream
	hash   uint64
	region string
	own    Load
	// reading holds this entry's attempts without a first event.
	reading []*Ticket
	// peers is the sum of what the other entries said.
	peers Load
	cache cache
	// notice is nil if the upstream itself has said nothing.
	notice *notice
	// told is the number of requests that the upstream itself told at toldAt.
	told   int
	toldAt time.Time

	failures   int
	avoidUntil time.Time
	failing    float64
	failingAt  time.Time
}

// Table holds the upstreams of all services.
type Table struct {
	regions  map[string]string
	places   map[string]*place
	services map[string][]*place
	// ready is the number of upstreams of a service that take new requests.
	ready map[string]int
	// notices are what upstreams have said, resting the upstreams of a service that
	// wanted no requests for a while; Resting drops those that do again.
	notices map[instance]*notice
	resting map[string][]*place
	// homes are those upstreams by service and region.
	homes map[homesKey][]homeCandidate
	// heard is what the other entries said, by entry.
	heard map[string][]heardLoad
	// turn and scratch are those of sample.
	turn    int
	scratch []*place
	speeds  map[string]*speed
}

// NewTable returns an empty table; regions maps availability zones to regions.
func NewTable(regions map[string]string) *Table {
	return &Table{
		regions: regions, places: map[string]*place{}, services: map[string][]*place{}, ready: map[string]int{},
		notices: map[instance]*notice{}, resting: map[string][]*place{},
		homes: map[homesKey][]homeCandidate{}, heard: map[string][]heardLoad{}, speeds: map[string]*speed{},
	}
}

// homesKey names the upstreams among which a shared prefix has its home.
type homesKey struct{ service, region string }

// homeCandidate is a place with its hash beside it, so that finding a home reads
// memory in order.
type homeCandidate struct {
	hash  uint64
	place *place
}

// SetUpstreams replaces the upstreams, keeping what is known of instances that
// stay.
func (t *Table) SetUpstreams(list []serving.Upstream) {
	next := make(map[string]*place, len(list))
	clear(t.services)
	clear(t.ready)
	clear(t.homes)
	clear(t.resting)
	for _, u := range list {
		p := t.places[u.ID]
		if p == nil || p.Born != u.Born || p.Address != u.Address {
			p = &place{hash: xxhash.Sum64String(u.ID)}
		}
		p.Upstream, p.region, p.notice = u, t.regions[u.Zone], t.notices[instanceOf(&u)]
		next[u.ID] = p
		t.services[u.Service] = append(t.services[u.Service], p)
		if p.notice != nil && !p.notice.restUntil.IsZero() {
			t.resting[u.Service] = append(t.resting[u.Service], p)
		}
		if !p.leaving() {
			t.ready[u.Service]++
			key := homesKey{u.Service, p.region}
			t.homes[key] = append(t.homes[key], homeCandidate{p.hash, p})
		}
	}
	t.places = next
}

// Count returns the number of upstreams of a service that take new requests.
func (t *Table) Count(service string) int { return t.ready[service] }

// Choice is where a request goes.
type Choice struct {
	Upstream serving.Upstream
	// Predicted is the time until the first event or, on plain services, until
	// a slot is free.
	Predicted time.Duration
	// Own is the part of Predicted that the request would take on an idle
	// upstream.
	Own time.Duration
	// Load is the work that the request adds there.
	Load Load
	// Running is the number of requests there already.
	Running int
	// kept is the tokens that are believed to be in memory there.
	kept int
}

// Pick returns the upstream with the lowest cost, or false if there is none.
func (t *Table) Pick(now time.Time, r *Request) (Choice, bool) {
	list := t.services[r.Service.Name]
	home := t.home(r)
	if len(list) > maxLooked {
		if best, ok := t.cheapest(now, r, t.sample(list, home), home); ok {
			return best, true
		}
	}
	return t.cheapest(now, r, list, home)
}

// sample returns some of the upstreams of a large service: the next ones in turn,
// and the home of the request's prefix.
func (t *Table) sample(list []*place, home *place) []*place {
	t.scratch = t.scratch[:0]
	if home != nil {
		t.scratch = append(t.scratch, home)
	}
	for range maxLooked {
		t.turn = (t.turn + 1) % len(list)
		t.scratch = append(t.scratch, list[t.turn])
	}
	return t.scratch
}

// cheapest returns the upstream of a list with the lowest cost.
func (t *Table) cheapest(now time.Time, r *Request, list []*place, home *place) (Choice, bool) {
	speed := t.speed(r.Service.Name)
	best, bestCost := Choice{}, math.Inf(1)
	for _, p := range list {
		if p.leaving() || p.rests(now) || slices.Contains(r.Tried, p.ID) || r.MaxRunning > 0 && p.own.Running >= r.MaxRunning {
			continue
		}
		load, kept, reread := p.added(r, p == home)
		wait := p.wait(now, r, load, speed)
		cost := wait + rereadWeight*float64(reread)/speed.tokensPerMs + t.distance(r.Zone, p) + p.failureShare(now)*failureCost
		if now.Before(p.avoidUntil) {
			cost += failureCost
		}
		if cost < bestCost {
			bestCost = cost
			best = Choice{
				Upstream: p.Upstream, Load: load, kept: kept, Running: p.running(now),
				Predicted: millis(wait), Own: millis(speed.firstMs + float64(load.Unread)/speed.tokensPerMs),
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// home returns the upstream of the entry's region that keeps the request's
// shared prefix.
func (t *Table) home(r *Request) *place {
	if r.Prompt == nil || len(r.Prompt.Parts) < 2 {
		return nil
	}
	key := r.Prompt.Parts[len(r.Prompt.Parts)-2].Hash
	var home *place
	var weight uint64
	for _, c := range t.homes[homesKey{r.Service.Name, t.regions[r.Zone]}] {
		if w := mix(key ^ c.hash); home == nil || w > weight {
			home, weight = c.place, w
		}
	}
	return home
}

// mix spreads the bits of a key.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// added returns the work that a request brings to an upstream, the tokens that
// are believed to be in memory there, and the shared tokens that are not.
func (p *place) added(r *Request, home bool) (load Load, kept, reread int) {
	if r.Prompt == nil {
		return Load{Running: 1}, 0, 0
	}
	parts := r.Prompt.Parts
	for i, part := range parts {
		last := i == len(parts)-1
		if !p.cache.has(part.Hash) && (last || !home) {
			break
		}
		kept += part.Tokens
	}
	shared := 0
	for _, part := range parts[:max(len(parts)-1, 0)] {
		shared += part.Tokens
	}
	unread := max(r.Prompt.Input-kept, 0)
	return Load{Running: 1, Unread: weighted(unread, r.Prompt.Input), Memory: r.Prompt.Input + r.Prompt.MaxOutput}, kept, max(shared-kept, 0)
}

// toldLife is how long an upstream's own word about its requests counts.
const toldLife = 300 * time.Millisecond

// running returns the requests on the upstream: what entries tell, or what it
// told itself if that is more.
func (p *place) running(now time.Time) int {
	known := p.own.Running + p.peers.Running
	if now.Sub(p.toldAt) > toldLife {
		return known
	}
	return max(known, p.told)
}

// wait predicts the milliseconds until the first event.
func (p *place) wait(now time.Time, r *Request, load Load, s *speed) float64 {
	running := p.running(now)
	slots := p.Slots
	if slots <= 0 {
		slots = assumedSlots
	}
	queued := float64(max(running+1-slots, 0))
	wait := queued * s.heldMs / float64(slots)
	if r.Prompt == nil {
		return wait + float64(running)/float64(slots)*runningCost
	}
	wait += s.firstMs + float64(p.unread(now)+p.peers.Unread+load.Unread)/s.tokensPerMs + float64(running)*runningCost
	if e := r.Service.Engine; e != nil && e.Memory > 0 {
		over := float64(p.own.Memory+p.peers.Memory+load.Memory) - fullMemory*float64(e.Memory)
		if over > 0 {
			wait += s.heldMs * math.Min(over/float64(load.Memory+1), 1)
		}
	}
	return wait
}

func (t *Table) distance(zone string, p *place) float64 {
	switch {
	case p.Zone == zone:
		return 0
	case p.region == t.regions[zone]:
		return sameRegionCost
	}
	return otherRegionCost
}

// failureShare returns the faded share of failures, 0 to 1.
func (p *place) failureShare(now time.Time) float64 {
	if p.failing < 0.01 {
		return 0
	}
	return p.failing * math.Exp2(-now.Sub(p.failingAt).Seconds()/failureFade.Seconds())
}
