package placement

import (
	"math"
	"time"

	"jaylink/decision/rendezvous"
)

const (
	// spreadCost is the largest cost, in milliseconds, by which the choice between upstreams is
	// randomized. Loads of other entries are known late, so entries that all pick the upstream
	// with the lowest cost would pick the same one.
	spreadCost = 30.0
	// gapQuantile is the quantile of the gaps between events that counts as the pause
	// during the prefill of a long prompt, and gapStep the weight of one gap.
	gapQuantile = 0.97
	gapStep     = 0.05
	// minGaps is the number of gaps from which on pauses are predicted.
	minGaps = 100
	// A predicted pause of lowRisk times the objective is never late, one of highRisk times
	// the objective always.
	lowRisk, highRisk = 0.75, 1.25
	// exposedTokens is the length of an answer, in tokens, during which another prompt is
	// likely to be prefilled beside it.
	exposedTokens = 150.0
)

// spread returns a cost between 0 and spreadCost that depends on the request and the
// upstream.
func spread(r *Request, s *upstreamState) float64 {
	return spreadCost * float64(rendezvous.Mix(r.Key^s.hash)>>11) / (1 << 53)
}

// pauseCost returns the cost, in milliseconds, of the pauses that the request and the
// streams already on an upstream are likely to have because of each other's prompts. A
// stream with a late pause counts as much as one that waits for the objective of the pause.
func (s *upstreamState) pauseCost(now time.Time, r *Request, load Load, est *speedEstimate) float64 {
	if r.PauseObjective <= 0 || est.gaps < minGaps {
		return 0
	}
	objective := float64(r.PauseObjective) / float64(time.Millisecond)
	own := latePauseRisk(est.pauseMs*s.slow.usualFactor()/objective) * (1 - math.Exp(-float64(expectedTokens(r.Prompt.LengthHint, r.Prompt.MaxOutput))/exposedTokens))
	others := float64(s.ownLoad.Running + s.peerLoad.Running - len(s.prefilling))
	prefill := float64(load.PrefillTokens) / est.tokensPerMs
	others = max(others, 0) * latePauseRisk(est.pauseMs*s.slow.factor(now)/objective) * min(prefill/est.pauseMs, 1)
	return objective * (own + others)
}

// latePauseRisk returns the probability that a pause is late by its ratio to the objective.
func latePauseRisk(ratio float64) float64 {
	return min(max((ratio-lowRisk)/(highRisk-lowRisk), 0), 1)
}

// expectedTokens returns the expected length of an answer, by the caller's hint or else its
// maximum. Events don't tell how many tokens they hold.
func expectedTokens(hint, maxOutput int) int {
	if hint > 0 {
		return hint
	}
	return maxOutput
}

// PauseThreshold returns the gap between two events of the attempt's stream that ObserveGaps
// distinguishes, or 0.
func (t *Table) PauseThreshold(ticket *Ticket) time.Duration {
	return millis(t.estimate(ticket.service).pauseMs * ticket.slowdown)
}

// ObserveStream records the longest pause between two events of a complete stream, and the time
// from its first event to its last.
func (t *Table) ObserveStream(ticket *Ticket, pause, rest time.Duration) {
	if ticket.isModelled() {
		t.model.ObserveStream(ticket.instance, &ticket.work, ticket.beside, pause, rest, expectedTokens(ticket.work.LengthHint, ticket.work.MaxOutput))
	}
}

// ObserveGaps records the number of gaps between the events of an attempt's stream, and how
// many of them were longer than PauseThreshold.
func (t *Table) ObserveGaps(ticket *Ticket, gaps, longer int) {
	est := t.estimate(ticket.service)
	est.gaps += gaps
	step := gapStep * (gapQuantile*float64(longer) - (1-gapQuantile)*float64(gaps-longer))
	est.pauseMs = min(max(est.pauseMs*math.Exp(min(max(step, -0.5), 0.5)), minPauseMs), maxPauseMs)
}
