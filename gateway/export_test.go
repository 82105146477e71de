package gateway

// AnswerMemory returns the bytes that answers and events take from their budget.
func (g *Gateway) AnswerMemory() int64 { return g.answerMemory.Used() }

// BodyMemory returns the bytes that the bodies of requests take from their budget.
func (g *Gateway) BodyMemory() int64 { return g.bodyMemory.Used() }
