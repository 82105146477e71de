package rollout

import "math"

// The test is a mixture of likelihood ratios. For each route, each measure of bad answers
// and each alternative it keeps an e-value: a product whose expectation stays at most 1
// while the new version's share of bad answers does not exceed the old one's. By Ville's
// inequality the weighted mean of such products reaches 1/a with a probability of at most
// a, whenever it is looked at.
const (
	// falseAlarms is the greatest probability that the test rejects a good version.
	falseAlarms = 0.009
	// suspicion is the evidence from which on the last step is put off. That of a good
	// version is mostly below it and falls further.
	suspicion = 1
	// tolerance is the ratio of slow answers, new to old, that still counts as equal: the
	// prefix caches of new upstreams are empty, so a good version is slower at first.
	// failureTolerance is that of failures.
	tolerance        = 1.5
	failureTolerance = 1.2
	// rateTolerance is the ratio of the new version's share of bad answers to the old
	// version's highest that still counts as equal. aloneTolerance replaces it while the
	// old version runs nothing, since all load is on the new one then.
	rateTolerance  = 2.0
	aloneTolerance = 3.0
	// recentDecay is the weight of the old version's recent answers after each step, so
	// that a surge of bad answers of both versions raises the share that counts as equal.
	recentDecay = 0.7
	// priorAnswers is the number of answers with the share of all routes by which the
	// share of a route is smoothed, and minRate the lowest share.
	priorAnswers = 20
	minRate      = 0.005
	// slowBuckets is the number of buckets above a quantile of the old version from which
	// on an answer counts as slow: more than twice the quantile.
	slowBuckets = 3
	// minReference is the number of old answers from which a quantile is taken.
	minReference = 20
	// togetherWeight is the weight of all routes together, and routeWeight that of each
	// of the first evenRoutes routes; later ones share what is left.
	togetherWeight = 0.4
	routeWeight    = 0.5 / evenRoutes
	evenRoutes     = 8
	// minBad is the number of bad answers below which a version is not rejected.
	minBad = 4
)

// alternatives are the ratios of odds, new to old, that the test looks for.
var alternatives = [...]float64{3, 10, 40}

// quantiles are those of the old version that determine which answers are slow.
var quantiles = [...]float64{0.5, 0.9}

// tests is the number of measures of bad answers: failures, and each quantile of each
// measure of latency.
const tests = 1 + measures*len(quantiles)

// kinds is the number of e-values of a test: each alternative is compared with the old
// version's answers of the same step and with its share of bad answers so far.
const kinds = 2 * len(alternatives)

// rate is a number of answers, which decays, and the bad ones among them.
type rate struct{ bad, all float64 }

func (r *rate) add(bad, all int) { r.bad, r.all = r.bad+float64(bad), r.all+float64(all) }

// smoothed returns the share of bad answers, drawn towards a prior.
func (r rate) smoothed(prior float64) float64 {
	return (r.bad + priorAnswers*prior) / (r.all + priorAnswers)
}

// routeEvidence is the evidence on one route.
type routeEvidence struct {
	old Counts
	// waitingNew and waitingOld have not been weighed yet.
	waitingNew, waitingOld Counts
	// begun is set by the first step, whose own old answers are the reference.
	begun bool
	// history and recent are what the old version did, by test.
	history, recent [tests]rate
	// logs holds the logarithms of the e-values, and bad the bad answers of the new
	// version, by test.
	logs [tests][kinds]float64
	bad  [tests]int
}

// sample is what both versions did in one step: answers and the bad ones among them.
type sample struct{ newAll, newBad, oldAll, oldBad int }

// observe adds what both versions did on the route since the last step. Which answers are
// slow is determined by the old version's answers before that. failureRate is the old
// version's share of failures on all routes.
func (e *routeEvidence) observe(next, old Counts, failureRate float64) {
	if !e.begun {
		e.old = old
		e.history[0].add(old.Failures, old.outcomes())
	}
	e.update(0, sample{next.outcomes(), next.Failures, old.outcomes(), old.Failures}, failureRate)
	test := 1
	for m := range measures {
		reference := e.old.histogram(m)
		for _, q := range quantiles {
			if from, ok := slowFrom(reference, q); ok {
				e.history[test] = rate{float64(sum(reference[from:])), float64(sum(reference))}
				s := sample{next.answers(m), sum(next.histogram(m)[from:]), old.answers(m), sum(old.histogram(m)[from:])}
				e.update(test, s, (1-q)/4)
			}
			test++
		}
	}
	if e.begun {
		e.old.add(old)
		e.history[0].add(old.Failures, old.outcomes())
	}
	e.begun = true
}

// slowFrom returns the bucket from which on answers count as slow.
func slowFrom(reference []int, quantile float64) (int, bool) {
	total := sum(reference)
	if total < minReference {
		return 0, false
	}
	seen := 0
	for bucket, n := range reference {
		if seen += n; float64(seen) >= quantile*float64(total) {
			return bucket + slowBuckets, bucket+slowBuckets < Buckets
		}
	}
	return 0, false
}

// update multiplies the e-values of a test by what a step has shown. prior is the share of
// bad answers that is assumed before there are answers.
func (e *routeEvidence) update(test int, s sample, prior float64) {
	recent := &e.recent[test]
	recent.bad, recent.all = recent.bad*recentDecay, recent.all*recentDecay
	recent.add(s.oldBad, s.oldAll)
	e.bad[test] += s.newBad
	if s.newAll > 0 {
		e.compare(test, s)
		e.judgeRate(test, s, prior)
	}
}

// compare weighs which version the bad answers of a step are of: of all of them, each is
// of the new one with at most this chance. The hypergeometric distribution is bounded by
// the binomial one.
func (e *routeEvidence) compare(test int, s sample) {
	equal := tolerance
	if test == 0 {
		equal = failureTolerance
	}
	chance := equal * float64(s.newAll) / (equal*float64(s.newAll) + float64(s.oldAll))
	for i, ratio := range alternatives {
		e.logs[test][i] += float64(s.newBad)*math.Log(ratio) - float64(s.newBad+s.oldBad)*math.Log(1-chance+chance*ratio)
	}
}

// judgeRate weighs how many of the new version's answers are bad: each is with at most the
// old version's share, of late or so far, whichever is higher.
func (e *routeEvidence) judgeRate(test int, s sample, prior float64) {
	if e.history[test].all < minReference {
		return
	}
	equal := rateTolerance
	if s.oldAll == 0 {
		equal = aloneTolerance
	}
	chance := equal * max(e.history[test].smoothed(prior), e.recent[test].smoothed(prior), minRate)
	if chance > 0.5 {
		return
	}
	for i, ratio := range alternatives {
		e.logs[test][len(alternatives)+i] += float64(s.newBad)*math.Log(ratio) - float64(s.newAll)*math.Log(1-chance+chance*ratio)
	}
}

// testWeight returns the weight of a test: failures weigh as much as each measure of latency.
func testWeight(test int) float64 {
	if test == 0 {
		return 0.4
	}
	return 0.3 / float64(len(quantiles))
}

// weightOf returns the weight of the route that appeared as the n-th, from 0.
func weightOf(n int) float64 {
	if n < evenRoutes {
		return routeWeight
	}
	later := float64(n - evenRoutes)
	return (1 - togetherWeight - evenRoutes*routeWeight) / ((later + 1) * (later + 2))
}

// mixture is the weighted mean of all e-values, and the greatest part of it.
type mixture struct {
	total, highest float64
	test           int
	route          string
}

func (m *mixture) add(weight float64, e *routeEvidence, route string) {
	for test := range tests {
		if e.bad[test] < minBad {
			continue
		}
		for _, log := range e.logs[test] {
			value := weight * testWeight(test) * math.Exp(min(log, 300)) / float64(kinds)
			if m.total += value; value > m.highest {
				m.highest, m.test, m.route = value, test, route
			}
		}
	}
}

// mix returns the mixture over all routes, in the order in which they appeared, and over
// the routes together.
func mix(routes []string, evidence map[string]*routeEvidence) mixture {
	var m mixture
	var together routeEvidence
	for n, name := range routes {
		e := evidence[name]
		for test := range tests {
			together.bad[test] += e.bad[test]
			for i, log := range e.logs[test] {
				together.logs[test][i] += log
			}
		}
		m.add(weightOf(n), e, name)
	}
	m.add(togetherWeight, &together, "")
	return m
}

// rejects reports whether the evidence rejects the new version.
func (m mixture) rejects() bool { return m.total >= 1/falseAlarms }

// suspects reports whether the evidence is too strong for all traffic to go to the new
// version while there is time to see more.
func (m mixture) suspects() bool { return m.total >= suspicion }

func testName(test int) string {
	switch {
	case test == 0:
		return ReasonFailures
	case (test-1)/len(quantiles) == FirstEvent:
		return ReasonSlow
	}
	return ReasonPauses
}
