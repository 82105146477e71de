package placement

import "time"

const (
	// Initial estimates, which each observation corrects.
	initialTokensPerMs = 100
	initialBaseMs      = 20
	initialSlotMs      = 100
	// learningRate is the weight of one observation in a moving average.
	learningRate = 0.03
	// An observation with at most shortPrompt uncached tokens updates the constant
	// part of the time to the first event. One with at least longPrompt uncached
	// tokens updates the prefill rate.
	shortPrompt, longPrompt = 300, 1000
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
}

func (t *Table) estimate(service string) *speedEstimate {
	est := t.estimates[service]
	if est == nil {
		est = &speedEstimate{tokensPerMs: initialTokensPerMs, baseMs: initialBaseMs, slotMs: initialSlotMs}
		t.estimates[service] = est
	}
	return est
}

// withAttention returns a number of tokens of a prompt, scaled up by the additional
// cost of attention over the whole prompt.
func withAttention(tokens, prompt int) int {
	return int(float64(tokens) * (1 + float64(prompt)/attentionParityTokens))
}

// observePrefill updates the estimate with the time to the first event of a prompt on
// an idle upstream.
func (e *speedEstimate) observePrefill(tokens int, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	switch {
	case tokens <= shortPrompt:
		e.baseMs += learningRate * (ms - float64(tokens)/e.tokensPerMs - e.baseMs)
	case tokens >= longPrompt:
		perToken := min(max((ms-e.baseMs)/float64(tokens), 1.0/maxTokensPerMs), 1.0/minTokensPerMs)
		e.tokensPerMs = 1 / (1/e.tokensPerMs + learningRate*(perToken-1/e.tokensPerMs))
	}
}

// observeSlotTime updates the estimate with the time that a request occupied its slot.
func (e *speedEstimate) observeSlotTime(took time.Duration) {
	e.slotMs += learningRate * (float64(took)/float64(time.Millisecond) - e.slotMs)
}
