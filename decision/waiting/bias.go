package waiting

import "time"

const (
	// biasKeep is the weight that earlier observations keep at each new one.
	biasKeep = 0.95
	// minBias and maxBias bound the correction.
	minBias, maxBias = 0.5, 8.0
	// biasPrior is the time that is assumed to have been predicted well before the first
	// observation, and maxObserved the longest time that counts.
	biasPrior, maxObserved = 1.0, time.Minute
)

// Bias corrects predicted queueing times by how long requests really took. Without it a
// prediction that is too low lets the queues on engines grow until all answers are late.
// The zero value corrects nothing.
type Bias struct{ took, predicted float64 }

// Observe records how long a request took and how long was predicted.
func (b *Bias) Observe(took, predicted time.Duration) {
	predicted = min(max(predicted, time.Millisecond), maxObserved)
	took = min(max(took, 0), time.Duration(maxBias*float64(predicted)))
	b.took = biasKeep*b.took + took.Seconds()
	b.predicted = biasKeep*b.predicted + predicted.Seconds()
}

// Correct returns a predicted time with the correction.
func (b *Bias) Correct(predicted time.Duration) time.Duration {
	factor := (b.took + biasPrior) / (b.predicted + biasPrior)
	return time.Duration(min(max(factor, minBias), maxBias) * float64(predicted))
}
