package workmodel

import (
	"math"
	"math/bits"
	"slices"
)

const (
	// ranges is the number of ranges of predicted times. The first one ends at
	// firstRangeMs, and each further one is twice as wide as the one before it.
	ranges       = 9
	firstRangeMs = 25
	// rangeSamples is the number of samples that are kept in a range and in all together.
	rangeSamples = 64
	// fewSamples is the number of samples of a range that weigh as much as those of all
	// ranges together, and those of all as much as what is assumed without samples.
	fewSamples = 12
	// updateEvery is the number of samples after which the factors of the other ranges
	// are derived again.
	updateEvery = 16
	// highQuantile is the share of actual values below a high quantile.
	highQuantile = 0.9
	// Limits on the correction and on the high quantile, as logarithms.
	maxCorrection = 0.8
	minSpread     = 0.05
	maxSpread     = 2.5
	// If the high quantile is further from the median than wideSpread, the prediction is
	// raised above the median by up to maxRaise: a wide distribution is skewed, and what
	// is expected of it is above its median.
	wideSpread = 0.50
	maxRaise   = 0.22
)

// ratios holds logarithms of ratios of actual to predicted times and derives a correction
// and a high quantile for each range of predicted times.
type ratios struct {
	all     window
	byRange [ranges]window
	// usual and high are the factors of each range.
	usual, high [ranges]float64
	// assumed is the logarithm of the high quantile without samples.
	assumed float64
	count   uint32
	// allMedian and allHigh are the quantiles of all ranges together, and allWeight the
	// weight of samples in them.
	allMedian, allHigh, allWeight float64
}

func newRatios(assumed float64) ratios {
	r := ratios{assumed: assumed}
	r.update()
	return r
}

func rangeOf(ms float64) int {
	return min(bits.Len32(uint32(min(ms, 1e8)*(1.0/firstRangeMs))), ranges-1)
}

// apply corrects a predicted time and returns its high quantile.
func (r *ratios) apply(ms float64) (usual, high float64) {
	i := rangeOf(ms)
	return ms * r.usual[i], ms * r.high[i]
}

// observe adds the logarithm of a ratio.
func (r *ratios) observe(predictedMs, ratio float64) {
	r.count++
	i := rangeOf(predictedMs)
	r.all.add(ratio, r.count)
	r.byRange[i].add(ratio, r.count)
	if r.count < matureSamples || r.count%updateEvery == 0 {
		r.update()
		return
	}
	r.updateRange(i)
}

// clip returns the limit on the effect of a single observation, as a logarithm. It is
// wide at first and then follows the spread.
func (r *ratios) clip() float64 {
	if r.count < matureSamples {
		return 1
	}
	return min(max(1.2*math.Log(r.high[0]/r.usual[0]), 0.3), 0.7)
}

// update derives the factors of all ranges.
func (r *ratios) update() {
	r.updateAll()
	for i := range r.byRange {
		r.updateRange(i)
	}
}

// updateAll derives the quantiles of all ranges together. Samples from the first half of
// the service's observations are left out, because they were made before the weights had
// been learned.
func (r *ratios) updateAll() {
	median, high, n := r.all.quantiles(r.count / 2)
	r.allMedian, r.allHigh = n*median/(n+fewSamples), (n*high+fewSamples*r.assumed)/(n+fewSamples)
	r.allWeight = n / (n + fewSamples)
}

// updateRange derives the factors of a range.
func (r *ratios) updateRange(i int) {
	m, h, n := r.byRange[i].quantiles(r.count / 2)
	m = (n*m + fewSamples*r.allMedian) / (n + fewSamples)
	h = (n*h + fewSamples*r.allHigh) / (n + fewSamples)
	m = min(max(m, -maxCorrection), maxCorrection)
	h = min(max(h, m+minSpread), m+maxSpread)
	usual := m + min(max(h-m-wideSpread, 0), maxRaise)*r.allWeight
	r.usual[i], r.high[i] = math.Exp(usual), math.Exp(max(h, usual+minSpread))
}

// window holds the latest samples.
type window struct {
	values [rangeSamples]float32
	number [rangeSamples]uint32 // of the observation, over all ranges
	next   int
	filled int
}

func (w *window) add(value float64, number uint32) {
	w.values[w.next], w.number[w.next] = float32(value), number
	w.next = (w.next + 1) % rangeSamples
	w.filled = min(w.filled+1, rangeSamples)
}

// quantiles returns the median and the high quantile of the samples after the given
// number, and how many there are.
func (w *window) quantiles(after uint32) (median, high, n float64) {
	var buffer [rangeSamples]float32
	list := buffer[:0]
	for i := range w.filled {
		if w.number[i] > after {
			list = append(list, w.values[i])
		}
	}
	if len(list) == 0 {
		return 0, 0, 0
	}
	slices.Sort(list)
	return quantile(list, 0.5), quantile(list, highQuantile), float64(len(list))
}

// quantile interpolates a quantile of a sorted list. With few samples it is the highest
// one, as a higher one can't be known.
func quantile(sorted []float32, q float64) float64 {
	at := min(max(q*float64(len(sorted)+1)-1, 0), float64(len(sorted)-1))
	i := int(at)
	if i+1 == len(sorted) {
		return float64(sorted[i])
	}
	part := at - float64(i)
	return float64(sorted[i])*(1-part) + float64(sorted[i+1])*part
}
