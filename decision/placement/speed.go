package placement

import "time"

// First guesses, corrected with each answer.
const (
	assumedTokensPerMs = 100
	assumedFirstMs     = 20
	assumedHeldMs      = 100
	// guessWeight is how many answers the first guesses count for.
	guessWeight = 20
	// fade is what an observation keeps of its weight with each later one.
	fade = 0.995
	// learnStep is the weight of one observation of how long slots are held.
	learnStep = 0.05
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
	// weight, and the weighted sums of tokens, milliseconds and their
	// products, are those of a least-squares fit.
	weight, x, y, xx, xy float64
}

func newSpeed() *speed {
	s := &speed{tokensPerMs: assumedTokensPerMs, firstMs: assumedFirstMs, heldMs: assumedHeldMs}
	for _, tokens := range []float64{0, 10_000} {
		s.observe(guessWeight/2, tokens, assumedFirstMs+tokens/assumedTokensPerMs)
	}
	return s
}

func (t *Table) speed(service string) *speed {
	s := t.speeds[service]
	if s == nil {
		s = newSpeed()
		t.speeds[service] = s
	}
	return s
}

func (s *speed) observe(weight, tokens, ms float64) {
	s.weight += weight
	s.x += weight * tokens
	s.y += weight * ms
	s.xx += weight * tokens * tokens
	s.xy += weight * tokens * ms
}

// read learns from a prompt that was read on an upstream without other unread
// prompts.
func (s *speed) read(tokens int, took time.Duration) {
	for _, sum := range []*float64{&s.weight, &s.x, &s.y, &s.xx, &s.xy} {
		*sum *= fade
	}
	s.observe(1, float64(tokens), float64(took)/float64(time.Millisecond))
	variance := s.xx - s.x*s.x/s.weight
	if variance <= 0 {
		return
	}
	slope := (s.xy - s.x*s.y/s.weight) / variance
	slope = min(max(slope, 1.0/maxTokensPerMs), 1.0/minTokensPerMs)
	s.tokensPerMs = 1 / slope
	s.firstMs = max((s.y-slope*s.x)/s.weight, 0)
}

// held learns how long a request holds its slot.
func (s *speed) held(took time.Duration) {
	s.heldMs += learnStep * (float64(took)/float64(time.Millisecond) - s.heldMs)
}
