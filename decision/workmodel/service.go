package workmodel

import "math"

const (
	// Initial weights of the time to the first event, those of package placement, and
	// their uncertainty.
	initialBaseMs, baseDeviation       = 20, 15
	initialTokenMs, tokenDeviation     = 0.01, 0.006
	initialRunningMs, runningDeviation = 1.5, 1.2
	// attentionParityTokens is the prompt length at which attention takes as long as the
	// rest of the computation, until it is learned.
	attentionParityTokens = 50_000
	// chunkTokens is the number of prompt tokens that an engine processes beside one
	// step, and eventTokens the usual number of tokens in an event.
	chunkTokens = 2048
	eventTokens = 8
	// memoryUnit scales tokens in the KV cache.
	memoryUnit = 1.0 / 100_000
	// longHorizonMs is the time over which a stream runs.
	longHorizonMs = 1000
	// gapClip limits the effect of a single gap, as the logarithm of a ratio.
	gapClip = 0.7
	// gapWeight is the weight of a gap in the speed of an upstream, relative to a first
	// event. The gaps of a stream have causes in common.
	gapWeight, busyGapWeight = 0.2, 0.03
	// percentLifetimeMs is the time in which half of a statement's weight is lost.
	percentLifetimeMs = 150
	// minSpeed and maxSpeed limit a statement, as a factor.
	minSpeed, maxSpeed = 0.3, 4
	// defaultSlotMs is the time for which a request occupies a slot if it is not known
	// how many tokens remain.
	defaultSlotMs = 100
)

// service holds what was learned of all upstreams of a service.
type service struct {
	first, gap, pause, token fit
	firstRatios, pauseRatios ratios
	// context is the mean prompt length of an unread token.
	context float64
	// percent is the mean of what upstreams state, as a factor minus 1, and trust how
	// much of a deviation from it is expected to be seen.
	percent, percents float64
	trust             float64
}

func newService() *service {
	s := &service{trust: 1}
	s.first = newFit(
		weight{initialBaseMs, baseDeviation, 1, 500},
		weight{initialTokenMs, tokenDeviation, 0.0005, 0.5},
		weight{initialTokenMs, tokenDeviation, 0, 0.1},
		weight{initialRunningMs, runningDeviation, 0, 50},
		weight{0, 0.2, 0, 5},
	)
	s.gap = newFit(
		weight{24, 15, 0.5, 1000}, weight{0.8, 0.6, 0, 50}, weight{1, 0.5, 0, 4}, weight{0, 3, 0, 100},
	)
	s.pause = newFit(
		weight{0, 40, 0, 2000}, weight{1.5, 0.5, 0.5, 10}, weight{0.5, 0.4, 0, 4}, weight{4, 10, 0, 200}, weight{0, 5, 0, 100},
	)
	s.token = newFit(weight{3, 2, 0.05, 1000}, weight{0.1, 0.1, 0, 10}, weight{0, 0.4, 0, 10})
	s.firstRatios, s.pauseRatios = newRatios(math.Log(2)), newRatios(math.Log(2.5))
	return s
}

// prompt is what the time to the first event depends on of a request itself.
type prompt struct {
	// unread is the number of unread tokens, and attention stands for the additional cost
	// of attention over the whole prompt.
	unread, attention float64
}

func promptOf(w *Work) prompt {
	unread := float64(min(max(w.Unread, 0), maxTokens))
	return prompt{unread, unread * lengthOf(w) / attentionParityTokens}
}

// lengthOf returns the length of the whole prompt.
func lengthOf(w *Work) float64 { return float64(min(max(w.Prompt, w.Unread, 0), maxTokens)) }

// firstTerms are the terms of the time to the first event: all unread tokens, the cost of
// attention, and the running requests, for themselves and beside each chunk.
func (s *service) firstTerms(p prompt, b *Beside) terms {
	ahead, running := float64(b.Unread), float64(b.Running)
	all := p.unread + ahead
	return terms{
		all, p.attention + ahead*min(s.context, ahead)*(1.0/attentionParityTokens),
		running, running * all * (1.0 / chunkTokens),
	}
}

// firstTotal returns the predicted time to the first event before it is corrected by the
// ratios of actual to predicted, and its parts: that on a usual upstream, the slowdown and
// the time in the queue.
func (s *service) firstTotal(u *upstream, p prompt, b *Beside, host *statement) (total, raw, slowdown, queued float64) {
	raw = s.first.predict(s.firstTerms(p, b))
	slowdown = host.slowdown(raw)
	total = raw * slowdown
	if u != nil {
		total *= u.firstScale
	}
	if b.Slots > 0 && b.Running >= b.Slots {
		queued = s.queueTime(u, b)
	}
	return total + queued, raw, slowdown, queued
}

// queueTime predicts the time until a slot is free for a request behind those that wait
// already.
func (s *service) queueTime(u *upstream, b *Beside) float64 {
	slots := float64(b.Slots)
	waiting := float64(b.Running) - slots
	slotMs := float64(defaultSlotMs)
	if b.Remaining > 0 {
		// On average, half of a running request's output remains.
		tokens := float64(b.Remaining) / (slots/2 + waiting)
		running := *b
		running.Running = b.Slots
		slotMs = tokens * s.token.predict(tokenTerms(&running)) * stepFactor(u)
	}
	return (waiting + 1) * slotMs / slots
}

// gapTerms are the terms of the time between two events: an event's steps, with the chunks
// of the prompts that are processed beside them.
func (s *service) gapTerms(b *Beside) terms {
	return terms{
		float64(b.Running), s.first.weights[1] * min(float64(b.Unread), eventTokens*chunkTokens), float64(b.Memory) * memoryUnit, 0,
	}
}

// pauseTerms are the terms of a stream's longest time between two events.
func (s *service) pauseTerms(b *Beside, events float64) terms {
	t := s.gapTerms(b)
	chunks := t.b
	t.b = 0
	return terms{s.gap.predict(t), chunks, events, t.a * events * 0.1}
}

// pauseTotal returns the predicted pause before it is corrected by the ratios of actual to
// predicted. The argument slowdown is that of a stream.
func (s *service) pauseTotal(u *upstream, b *Beside, events, slowdown float64) float64 {
	return s.pause.predict(s.pauseTerms(b, events)) * stepFactor(u) * slowdown
}

// tokenTerms are the terms of the time for an output token.
func tokenTerms(b *Beside) terms {
	return terms{float64(b.Running), float64(b.Memory) * memoryUnit, 0, 0}
}

// eventsTerm is the term for the number of events: the more there are, the longer is the
// longest time between two.
func eventsTerm(output int) float64 { return math.Log1p(float64(output) / eventTokens) }

// statement is what is known of the speed of an upstream's host.
type statement struct {
	// usual is the usual factor by which work takes longer, and deviation that by which
	// the upstream stated more, weighted with trust.
	usual, deviation float64
	// lifetimeMs is the time in which the deviation loses its weight, with its age.
	lifetimeMs float64
}

func (s *service) statement(u *upstream, b *Beside) statement {
	if !(b.Percent > 0) {
		return statement{1 + s.percent, 0, percentLifetimeMs}
	}
	trust := s.trust
	if u != nil {
		trust = u.trust
	}
	return statement{
		1 + s.percent, trust * percentLifetimeMs * (statedFactor(b.Percent) - 1 - s.percent),
		percentLifetimeMs + max(inMillis(b.PercentAge), 0),
	}
}

// slowdown returns the factor by which work takes longer than usual, in the time that begins
// now and lasts horizonMs.
func (s *statement) slowdown(horizonMs float64) float64 {
	return s.usual + s.deviation/(s.lifetimeMs+horizonMs*0.5)
}

func statedFactor(percent float64) float64 { return min(max(percent*0.01, minSpeed), maxSpeed) }

// observePercent updates the average of what upstreams state. A single statement changes
// it little, so that a false one affects its own upstream only.
func (s *service) observePercent(b *Beside) {
	if !(b.Percent > 0) {
		return
	}
	stated := statedFactor(b.Percent) - 1
	s.percents = min(s.percents+1, 200)
	s.percent += min(max(stated-s.percent, -0.3), 0.3) / (s.percents + 5)
}

// observeContext updates the mean prompt length of an unread token.
func (s *service) observeContext(w *Work) {
	unread := float64(min(max(w.Unread, 0), maxTokens))
	const usual = 50_000
	s.context += min(unread/usual, 0.2) * 0.5 * (min(lengthOf(w), 4*usual) - s.context)
}
