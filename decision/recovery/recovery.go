// Package recovery plans what happens to the streams on an upstream whose host
// is being reclaimed: some finish there, some are migrated together with their
// KV cache, and the others are continued on another upstream from the prompt
// and the answer so far. It does no I/O, reads no clock and uses no randomness.
package recovery

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jaylink/decision/rendezvous"
)

// Choice is what happens to a stream.
type Choice string

// Choices for a stream.
const (
	// Finish leaves the stream on its upstream, because it ends before the
	// deadline.
	Finish Choice = "finish"
	// MoveCache copies the stream's KV cache to another upstream in the region
	// and continues there.
	MoveCache Choice = "move_cache"
	// Resume continues the stream elsewhere, where the KV cache is recomputed
	// from the prompt and the answer so far.
	Resume Choice = "resume"
)

// Stream is a completion that is running on the upstream.
type Stream struct {
	ID string
	// Prompt, Generated and Left are the numbers of tokens of the prompt, of
	// the answer so far, and of the rest of the answer.
	Prompt, Generated, Left int
	// Interval is the time between tokens; 0 if unknown.
	Interval time.Duration
	// Urgent streams are planned first.
	Urgent bool
}

// Target is another upstream that could continue streams.
type Target struct {
	Name string
	// SameRegion is set if the target is in the region of the reclaimed
	// upstream.
	SameRegion bool
	// Free is the number of free slots.
	Free int
}

// Rates are the throughput and sizes that the planner assumes.
type Rates struct {
	// CacheBytes is the size of the KV cache per token in bytes.
	CacheBytes int64
	// Export is the rate at which an upstream sends its KV cache, in bytes per
	// second.
	Export int64
	// Link is the part of the capacity of the link between regions that the
	// recovery on all entries together may use, in bytes per second. Only text
	// is sent over this link, never a KV cache.
	Link int64
	// Prefill is the number of prompt tokens that an upstream processes per
	// second.
	Prefill int64
	// TextBytes is the size of a token as text in bytes.
	TextBytes int64
}

// Step is the plan for one stream.
type Step struct {
	ID     string
	Choice Choice
	// Target is the upstream to continue on; "" for Finish, or if any upstream
	// will do.
	Target string
	// After is the delay before the stream is migrated. It avoids overloading
	// the targets and the link between regions.
	After time.Duration
}

// targetChoices is the number of targets whose free slots are compared for a
// stream.
const targetChoices = 2

// deadlineMargin is the time before the deadline that plans leave unused.
const deadlineMargin = 500 * time.Millisecond

// Planner plans for one entry. It remembers the use of targets and of the link
// by earlier plans, so that the upstreams of a whole availability zone can be
// planned one after another. It is not safe for concurrent use.
type Planner struct {
	rates   Rates
	entries int64
	// linkBusyUntil and targetBusyUntil are the times until which earlier plans
	// occupy the link and each target.
	linkBusyUntil   time.Time
	targetBusyUntil map[string]time.Time
}

// NewPlanner returns a planner that uses the given rates; each rate must be
// positive.
func NewPlanner(rates Rates) *Planner {
	return &Planner{rates: rates, entries: 1, targetBusyUntil: map[string]time.Time{}}
}

// SetEntries sets the number of entries that share the link, including this
// one.
func (p *Planner) SetEntries(n int) { p.entries = int64(max(n, 1)) }

// Plan plans all streams of an upstream that stops after left. The steps are
// returned in the order in which they should start: urgent streams first, then
// by descending recompute cost per byte sent.
func (p *Planner) Plan(now time.Time, left time.Duration, streams []Stream, targets []Target) []Step {
	left -= min(deadlineMargin, left/2)
	free := map[string]int{}
	for _, t := range targets {
		free[t.Name] = t.Free
	}
	exportTime := time.Duration(0)
	var steps []Step
	for _, s := range p.sortStreams(streams) {
		if s.Interval > 0 && time.Duration(s.Left)*s.Interval <= left {
			steps = append(steps, Step{ID: s.ID, Choice: Finish})
			continue
		}
		step := Step{ID: s.ID, Choice: Resume}
		t, ok := p.chooseTarget(now, s.ID, targets, free)
		if !ok {
			// No target has a free slot; the stream waits in the queue.
			steps = append(steps, step)
			continue
		}
		free[t.Name]--
		step.Target = t.Name
		transfer := p.transfer(s)
		if t.SameRegion && transfer < p.recompute(s) && exportTime+transfer <= left {
			exportTime += transfer
			step.Choice = MoveCache
			step.After = exportTime - transfer
		} else {
			step.After = p.reserve(now, left, s, t)
		}
		steps = append(steps, step)
	}
	return steps
}

// sortStreams returns urgent streams first, then the others by descending
// recompute cost per byte that has to be sent.
func (p *Planner) sortStreams(streams []Stream) []Stream {
	return slices.SortedFunc(slices.Values(streams), func(a, b Stream) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(p.recomputePerByte(b), p.recomputePerByte(a)), cmp.Compare(a.ID, b.ID))
	})
}

// recomputePerByte returns the cost of recomputing the KV cache, per byte of
// text to send. The cost is the recompute time multiplied by the number of
// tokens that it delays.
func (p *Planner) recomputePerByte(s Stream) float64 {
	bytes := float64(s.tokens() * p.rates.TextBytes)
	return p.recompute(s).Seconds() * float64(1+s.Left) / max(bytes, 1)
}

func (s Stream) tokens() int64 { return int64(s.Prompt + s.Generated) }

// recompute returns the time that a target needs to process the prompt and the
// answer so far.
func (p *Planner) recompute(s Stream) time.Duration { return durationFor(s.tokens(), p.rates.Prefill) }

// transfer returns the time that it takes to send the KV cache.
func (p *Planner) transfer(s Stream) time.Duration {
	return durationFor(s.tokens()*p.rates.CacheBytes, p.rates.Export)
}

func durationFor(amount, rate int64) time.Duration {
	return time.Duration(float64(amount) / float64(rate) * float64(time.Second))
}

// chooseTarget returns the target for a stream, or false if none has a free
// slot. Targets in the same region are preferred, and among them those that are
// idle soonest. If several remain, it compares the free slots of two that the
// stream's ID selects: entries plan without coordination, and would otherwise
// all choose the target with the most free slots.
func (p *Planner) chooseTarget(now time.Time, id string, targets []Target, free map[string]int) (Target, bool) {
	byName := map[string]Target{}
	var best Target
	for _, t := range targets {
		if free[t.Name] <= 0 {
			continue
		}
		if len(byName) > 0 {
			order := p.compareTargets(now, t, best)
			if order > 0 {
				continue
			}
			if order < 0 {
				clear(byName)
			}
		}
		best = t
		byName[t.Name] = t
	}
	if len(byName) == 0 {
		return Target{}, false
	}
	two := rendezvous.Pick(id, slices.Sorted(maps.Keys(byName)), targetChoices)
	name := two[0]
	if len(two) > 1 && free[two[1]] > free[name] {
		name = two[1]
	}
	return byName[name], true
}

// compareTargets returns a negative number if a is a better target than b, and
// a positive number if it is worse.
func (p *Planner) compareTargets(now time.Time, a, b Target) int {
	if a.SameRegion != b.SameRegion {
		if a.SameRegion {
			return -1
		}
		return 1
	}
	return cmp.Compare(timeUntil(now, p.targetBusyUntil[a.Name]), timeUntil(now, p.targetBusyUntil[b.Name]))
}

func timeUntil(now, until time.Time) time.Duration { return max(until.Sub(now), 0) }

// reserve occupies the target for one stream, and also the link if the target
// is in another region. It returns the delay until the stream may start. The
// returned delay never exceeds the time left, because the upstream is gone after
// that. The target and the link are booked as if the stream started after the
// uncapped delay.
func (p *Planner) reserve(now time.Time, left time.Duration, s Stream, t Target) time.Duration {
	after := timeUntil(now, p.targetBusyUntil[t.Name])
	if !t.SameRegion {
		after = max(after, timeUntil(now, p.linkBusyUntil))
		p.linkBusyUntil = now.Add(after + durationFor(s.tokens()*p.rates.TextBytes*p.entries, p.rates.Link))
	}
	p.targetBusyUntil[t.Name] = now.Add(after + p.recompute(s))
	return min(after, max(left, 0))
}
