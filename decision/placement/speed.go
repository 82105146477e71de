package placement

import "time"

// First guesses, corrected with each answer.
const (
	assumedTokensPerMs = 100
	assumedFirstMs     = 20
	assumedHeldMs      = 100
	// learnStep is the weight of one observation.
	learnStep = 0.03
	// shortPrompt and longPrompt are the unread tokens up to which an answer
	// teaches the constant part of the time to the first event, and from which
	// on it teaches the speed of reading.
	shortPrompt, longPrompt = 300, 1000
	// attentionTokens is the length of a prompt at which attention takes as long
	// as all else; typical for dense models of some ten billion parameters.
	attentionTokens = 50_000
	// minTokensPerMs and maxTokensPerMs bound what odd answers can teach.
	minTokensPerMs = 5
	maxTokensPerMs = 5000
)

// speed is what was learned about the upstreams of a service: the time to the
// first event is taken to be a constant and a part for each unread token.
type speed struct {
	// tokensPerMs is the rate at which prompts are read.
	tokensPerMs float64
	// firstMs is the time to the first event of a prompt of no length.
	firstMs float64
	// heldMs is how long a request holds its slot.
	heldMs float64
}

func (t *Table) speed(service string) *speed {
	s := t.speeds[service]
	if s == nil {
		s = &speed{tokensPerMs: assumedTokensPerMs, firstMs: assumedFirstMs, heldMs: assumedHeldMs}
		t.speeds[service] = s
	}
	return s
}

// weighted returns a number of a prompt's tokens, raised by what attention over
// the whole prompt adds to reading them.
func weighted(tokens, prompt int) int {
	return int(float64(tokens) * (1 + float64(prompt)/attentionTokens))
}

// read learns from a prompt that was read on an idle upstream.
func (s *speed) read(tokens int, took time.Duration) {
	ms := float64(took) / float64(time.Millisecond)
	switch {
	case tokens <= shortPrompt:
		s.firstMs += learnStep * (ms - float64(tokens)/s.tokensPerMs - s.firstMs)
	case tokens >= longPrompt:
		perToken := min(max((ms-s.firstMs)/float64(tokens), 1.0/maxTokensPerMs), 1.0/minTokensPerMs)
		s.tokensPerMs = 1 / (1/s.tokensPerMs + learnStep*(perToken-1/s.tokensPerMs))
	}
}

// held learns how long a request holds its slot.
func (s *speed) held(took time.Duration) {
	s.heldMs += learnStep * (float64(took)/float64(time.Millisecond) - s.heldMs)
}
