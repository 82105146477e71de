package workmodel

import (
	"math"
	"slices"
)

const (
	// priorSamples is the number of samples of an upstream that weigh as much as the
	// service's figure. It is the variance of one sample divided by that among upstreams.
	priorSamples = 4
	// maxSamples limits the weight of what was seen before in the mean, and
	// maxEvidence the weight of the mean against the service's figure.
	maxSamples, maxEvidence = 30, 400
	// factorClip limits the effect of a single sample, as the logarithm of a ratio, and
	// maxFactor the factor itself.
	factorClip = 0.7
	maxFactor  = 8
	// trustRate is the rate at which trust in an upstream's statements changes.
	// and minTrust the least one, from which it can rise again.
	trustRate, minTrust = 0.15, 0.02
	// usualDeviation is the logarithm of a factor at which an upstream's samples change
	// its service half as much as those of others.
	usualDeviation = 0.5
	// centerEvery is the number of first events of a service after which its upstreams'
	// factors are centered, and centerClip limits what one of them can change then.
	centerEvery = 32
	centerClip  = 0.3
)

// upstream holds what was learned of one upstream.
type upstream struct {
	service *service
	// first is the factor of times to the first event and step that of times between
	// events.
	first, step factor
	// firstScale is the factor of times to the first event, with the part that the times
	// between events explain.
	firstScale float64
	// trust is how much of a stated deviation is seen.
	trust    float64
	observed uint64
}

func newUpstream(s *service) *upstream {
	return &upstream{service: s, first: factor{scale: 1}, step: factor{scale: 1}, firstScale: 1, trust: s.trust}
}

func stepFactor(u *upstream) float64 {
	if u == nil {
		return 1
	}
	return u.step.scale
}

// combine updates firstScale. An upstream of which few first events were seen, but many
// gaps, is expected to be as fast in both.
func (u *upstream) combine() {
	prior := min(max(u.step.shrunk(0), -0.4), 0.4)
	u.firstScale = limitFactor(u.first.shrunk(prior))
}

// forService returns what the service learns of a residual of an upstream with the given
// factor.
func forService(residual, scale float64) float64 {
	deviation := math.Log(scale)
	return residual / (1 + deviation*deviation/(usualDeviation*usualDeviation))
}

// observeTrust updates trust with the part of a residual that follows what the upstream
// stated.
func (u *upstream) observeTrust(s *service, host *statement, slowdown, residual float64) {
	if host.deviation == 0 {
		return
	}
	residual = min(max(residual, -factorClip), factorClip)
	slope := (slowdown - host.usual) / (u.trust * slowdown)
	change := trustRate * residual * slope / (slope*slope + 0.1)
	u.trust = min(max(u.trust+change, minTrust), 1.2)
	s.trust = min(max(s.trust+0.1*change, 0.2), 1.2)
}

// factor is the ratio of an upstream's times to those of its service.
type factor struct {
	// samples is the weight of mean, which is a logarithm.
	samples, mean float64
	scale         float64
}

// observe updates the factor with the logarithm of a ratio.
func (f *factor) observe(ratio, weight float64) {
	f.samples = min(f.samples+weight, maxEvidence)
	if f.samples > 0 {
		f.mean += min(max(ratio-f.mean, -factorClip), factorClip) * weight / min(f.samples, maxSamples)
	}
	f.scale = limitFactor(f.shrunk(0))
}

// shrunk returns the mean, shrunk towards a value that is expected without samples.
func (f *factor) shrunk(towards float64) float64 {
	return (f.samples*f.mean + priorSamples*towards) / (f.samples + priorSamples)
}

func limitFactor(logarithm float64) float64 {
	return min(max(math.Exp(logarithm), 1.0/maxFactor), maxFactor)
}

// center moves what the factors of a service's upstreams have in common to the service's
// weights. It changes no prediction for the upstreams that have factors.
func (m *Model) center(s *service) {
	m.firstMeans, m.stepMeans = m.firstMeans[:0], m.stepMeans[:0]
	for _, u := range m.upstreams {
		if u.service != s {
			continue
		}
		if u.first.samples >= 1 {
			m.firstMeans = append(m.firstMeans, u.first.mean)
		}
		if u.step.samples >= 1 {
			m.stepMeans = append(m.stepMeans, u.step.mean)
		}
	}
	first, step := common(m.firstMeans), common(m.stepMeans)
	for _, u := range m.upstreams {
		if u.service == s {
			u.first.shift(first)
			u.step.shift(step)
			u.combine()
		}
	}
	firstScale, stepScale := math.Exp(first), math.Exp(step)
	s.first.scale(vector{firstScale, firstScale, firstScale, firstScale, firstScale})
	// The third term, of chunks, is itself proportional to a weight of first.
	s.gap.scale(vector{stepScale, stepScale, stepScale / firstScale, stepScale, 1})
	// The second term of a pause is a gap.
	s.pause.scale(vector{stepScale, 1, stepScale / firstScale, stepScale, stepScale})
	s.token.scale(vector{stepScale, stepScale, stepScale, 1, 1})
}

// common returns what the logarithms of factors have in common: their median, and of the
// deviations from it their clipped mean.
func common(means []float64) float64 {
	n := len(means)
	if n == 0 {
		return 0
	}
	slices.Sort(means)
	median := means[n/2]
	if other := means[(n-1)/2]; math.Abs(other) < math.Abs(median) {
		median = other
	}
	sum := 0.0
	for _, v := range means {
		sum += min(max(v-median, -centerClip), centerClip)
	}
	return median + sum/float64(n)
}

func (f *factor) shift(by float64) {
	if f.samples > 0 {
		f.mean -= by
	}
	f.scale = limitFactor(f.shrunk(0))
}
