package placement

import (
	"math"
	"time"

	"jaylink/decision/meter"
)

const (
	// Initial estimates, which each observation corrects.
	initialTokensPerMs = 100
	initialBaseMs      = 20
	initialSlotMs      = 100
	initialPauseMs     = 100
	// minPauseMs and maxPauseMs limit the effect of outliers.
	minPauseMs = 5
	maxPauseMs = 5000
	// learningRate is the weight of one observation in a moving average.
	learningRate = 0.03
	// prefillQuantile is the quantile of the time per prompt token that counts as the time
	// without waiting for other prompts. One observation changes it by a factor of at most
	// e^maxPrefillStep, later ones by less down to e^minPrefillStep.
	prefillQuantile                = 0.25
	minPrefillStep, maxPrefillStep = 0.08, 1.0
	// An observation with at most shortPrompt uncached tokens updates the constant
	// part of the time to the first event. One with at least longPrompt uncached
	// tokens updates the prefill rate.
	// One with at least veryLongPrompt updates the time per token without queues, on which the
	// network and the constant part have little influence.
	shortPrompt, longPrompt, veryLongPrompt = 300, 1000, 4000
	// attentionParityTokens is the prompt length at which attention takes as long as
	// the rest of the computation. The value is typical for dense models with about
	// ten billion parameters.
	attentionParityTokens = 50_000
	// minTokensPerMs and maxTokensPerMs limit the effect of outliers.
	minTokensPerMs = 5
	maxTokensPerMs = 5000
)

// speedEstimate holds the learned speed of the upstreams of a service. The time to the
// first event is modelled as a constant plus a time for each uncached prompt token.
type speedEstimate struct {
	// tokensPerMs is the rate at which prompts are processed (prefilled).
	tokensPerMs float64
	// baseMs is the time to the first event for an empty prompt.
	baseMs float64
	// slotMs is the time for which a request occupies its slot.
	slotMs float64
	// tokens is the number of prompt tokens that all attempts have left to be processed, and
	// tokenRate its rate.
	tokens    float64
	tokenRate meter.Meter
	// prefillMs is a low quantile of the time per prompt token, and prefills the number of
	// observations. It leaves out most of the time that prompts wait for others which this
	// entry does not know of yet.
	prefillMs float64
	prefills  int
	// pauseMs is the pause between two events of a stream while a long prompt is prefilled
	// beside it, without slowdown, and gaps the number of observed gaps.
	pauseMs float64
	gaps    int
}

func (t *Table) estimate(service string) *speedEstimate {
	est := t.estimates[service]
	if est == nil {
		est = &speedEstimate{tokensPerMs: initialTokensPerMs, baseMs: initialBaseMs, slotMs: initialSlotMs, prefillMs: 1.0 / initialTokensPerMs, pauseMs: initialPauseMs}
		t.estimates[service] = est
	}
	return est
}

// withAttention returns a number of tokens of a prompt, scaled up by the additional
// cost of attention over the whole prompt.
func withAttention(tokens, prompt int) int {
	return int(float64(tokens) * (1 + float64(prompt)/attentionParityTokens))
}

// observeFirstEvent updates the estimate with the time to the first event of a prompt on an idle
// upstream.
func (e *speedEstimate) observeFirstEvent(tokens int, took time.Duration, uncached bool) {
	if tokens >= veryLongPrompt {
		e.observeUnqueued(e.msPerToken(tokens, float64(took)/float64(time.Millisecond)))
	}
	if uncached {
		e.observePrefill(tokens, took)
	}
}

// msPerToken returns the time per token that a time to the first event shows, within the limits for
// outliers.
func (e *speedEstimate) msPerToken(tokens int, firstMs float64) float64 {
	return min(max((firstMs-e.baseMs)/float64(tokens), 1.0/maxTokensPerMs), 1.0/minTokensPerMs)
}

// observePrefill updates the estimate with the time to the first event of a prompt on
// an idle upstream.
func (e *speedEstimate) observePrefill(tokens int, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	switch {
	case tokens <= shortPrompt:
		e.baseMs += learningRate * (ms - float64(tokens)/e.tokensPerMs - e.baseMs)
	case tokens >= longPrompt:
		e.tokensPerMs = 1 / (1/e.tokensPerMs + learningRate*(e.msPerToken(tokens, ms)-1/e.tokensPerMs))
	}
}

// observeUnqueued updates the low quantile of the time per prompt token.
func (e *speedEstimate) observeUnqueued(perToken float64) {
	e.prefills++
	step := max(minPrefillStep, maxPrefillStep/float64(e.prefills))
	if perToken > e.prefillMs {
		step *= prefillQuantile
	} else {
		step *= prefillQuantile - 1
	}
	e.prefillMs *= math.Exp(step)
}

// minPrefills is the number of observations from which on the time per token is reported. The
// forecast takes the median of all entries, so that few of each are enough.
const minPrefills = 2

// Work returns the prompt tokens per second that this entry's requests bring to the upstreams of
// a service, and the time in milliseconds that an upstream takes for a token, or 0 if that is not
// known. It is to be called about once a second.
func (t *Table) Work(now time.Time, service string) (tokensPerSecond, msPerToken float64) {
	est := t.estimate(service)
	est.tokenRate.Observe(now, est.tokens)
	if est.prefills >= minPrefills {
		msPerToken = est.prefillMs
	}
	return est.tokenRate.Rate, msPerToken
}

// observeSlotTime updates the estimate with the time that a request occupied its slot.
func (e *speedEstimate) observeSlotTime(took time.Duration) {
	e.slotMs += learningRate * (float64(took)/float64(time.Millisecond) - e.slotMs)
}
