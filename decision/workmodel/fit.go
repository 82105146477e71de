package workmodel

import "math"

// maxTerms is the maximum number of terms of a fit.
const maxTerms = 5

// terms are the terms of a sum but for the first one, which is 1. Unused ones are 0.
type terms struct{ a, b, c, d float64 }

// vector has a number for each term.
type vector [maxTerms]float64

// weight is the initial weight of a term, how uncertain it is, and its limits.
type weight struct{ initial, deviation, low, high float64 }

const (
	// noise is the variance of the logarithm of an observed time.
	noise = 0.09
	// forgetting is the factor by which uncertainty grows with each observation, so that
	// the weights follow lasting changes.
	forgetting = 1.004
	// matureSamples is the number of observations after which the weights are taken to
	// be those of the service.
	matureSamples = 30
)

// fit learns the weights of a sum of terms from observations of the sum, whose relative
// error is assumed to be log-normal. It is an extended Kalman filter on the logarithm.
type fit struct {
	count      int
	weights    vector
	covariance [maxTerms]vector
	prior      vector // the variances at the start, which are never exceeded
	low, high  vector
	samples    float64
}

func newFit(list ...weight) fit {
	f := fit{count: len(list)}
	for i, w := range list {
		f.weights[i], f.low[i], f.high[i] = w.initial, w.low, w.high
		f.prior[i] = w.deviation * w.deviation
		f.covariance[i][i] = f.prior[i]
	}
	return f
}

// predict returns the sum.
func (f *fit) predict(t terms) float64 {
	w := &f.weights
	return w[0] + t.a*w[1] + t.b*w[2] + t.c*w[3] + t.d*w[4]
}

// maturity returns a number up to 1 that says how far the weights have been learned.
func (f *fit) maturity() float64 { return min(f.samples/matureSamples, 1) }

// observe updates the weights. The argument sum is the predicted sum and residual the
// logarithm of the ratio of the observed to the predicted time, whose effect is limited by
// clip.
func (f *fit) observe(t terms, sum, residual, clip float64) {
	residual = min(max(residual, -clip), clip)
	f.samples++
	// slope is the derivative of the logarithm of the sum, and spread covariance * slope.
	var spread vector
	slope := vector{1 / sum, t.a / sum, t.b / sum, t.c / sum, t.d / sum}
	variance := noise
	for i := range f.count {
		for j := range f.count {
			spread[i] += f.covariance[i][j] * slope[j]
		}
		variance += spread[i] * slope[i]
	}
	for i := range f.count {
		f.weights[i] += spread[i] / variance * residual
		for j := range f.count {
			f.covariance[i][j] = (f.covariance[i][j] - spread[i]*spread[j]/variance) * forgetting
		}
	}
	for i := range f.count {
		f.enforce(i)
	}
	f.limitVariances()
	for i := range f.count {
		f.weights[i] = min(max(f.weights[i], f.low[i]), f.high[i])
	}
}

// scale multiplies the weights.
func (f *fit) scale(by vector) {
	for i := range f.count {
		f.weights[i] = min(max(f.weights[i]*by[i], f.low[i]), f.high[i])
	}
}

// enforce moves a weight that is beyond a limit to it, and the others as their correlation
// with it says. Without the latter, a term at its limit would make correlated ones grow
// without bound.
func (f *fit) enforce(i int) {
	bound := min(max(f.weights[i], f.low[i]), f.high[i])
	v := f.covariance[i][i]
	if bound == f.weights[i] || !(v > 0) {
		return
	}
	column := f.covariance[i]
	excess := f.weights[i] - bound
	for j := range f.count {
		f.weights[j] -= column[j] / v * excess
		for k := range f.count {
			f.covariance[j][k] -= column[j] * column[k] / v
		}
	}
	for j := range f.count {
		f.covariance[i][j], f.covariance[j][i] = 0, 0
	}
	f.weights[i], f.covariance[i][i] = bound, min(v, f.prior[i]*boundVariance)
}

// limitVariances keeps the variances between a small share of the prior ones and those.
func (f *fit) limitVariances() {
	for i := range f.count {
		v := f.covariance[i][i]
		if v <= f.prior[i] && v >= f.prior[i]*minVariance {
			continue
		}
		if !(v >= f.prior[i]*minVariance) {
			for j := range f.count {
				f.covariance[i][j], f.covariance[j][i] = 0, 0
			}
			f.covariance[i][i] = f.prior[i] * minVariance
			continue
		}
		// v > prior: scale the row and the column, which keeps the correlations.
		scale := math.Sqrt(f.prior[i] / v)
		for j := range f.count {
			f.covariance[i][j] *= scale
			f.covariance[j][i] *= scale
		}
	}
}

// boundVariance is the greatest variance of a weight that was moved to a limit, as a share
// of the one at the start.
const boundVariance = 0.01

// minVariance is the least variance of a weight as a share of the one at the start.
const minVariance = 1e-6
