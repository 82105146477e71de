package gateway

import "time"

// AnswerMemory returns the bytes that answers and events take from their budget.
func (g *Gateway) AnswerMemory() int64 { return g.answerMemory.Used() }

// BodyMemory returns the bytes that the bodies of requests take from their budget.
func (g *Gateway) BodyMemory() int64 { return g.bodyMemory.Used() }

// SetConfirmTimeout sets how long the ends of answers may be in doubt, in place of the defaults.
// It must be called before Start.
func (g *Gateway) SetConfirmTimeout(d time.Duration) {
	g.confirmTimeouts = confirmTimeouts{last: d, other: d}
}
