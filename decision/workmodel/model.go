// Package workmodel predicts what a generation request costs on an upstream: the time to
// its first event, its longest pause between two events, its end and its length. It does
// no I/O and reads no clock: callers pass durations.
//
// Each time is a sum of a few terms (a fixed start, unread prompt tokens, running
// requests, held context) whose weights are learned for each service. They are multiplied by
// a factor of the upstream and by how busy the upstream says its host is, and corrected by
// the ratios of actual to predicted that were seen lately in the same range. The high
// quantiles come from the same ratios. The rules are designed for these load patterns:
//
//   - long prompts mixed with short ones: time follows unread tokens, with attention, and
//     each range of predicted times has its own correction and spread;
//   - many entries, each with few samples of an upstream: an upstream's factor is shrunk
//     towards the service, whose weights start at the constants of package placement and
//     follow within tens of samples;
//   - upstreams of different speed, on shared hosts whose speed changes many times a
//     second: a statement of the host's speed counts less the older it is, the longer the
//     predicted time is, and the less it has explained on this upstream;
//   - upstreams that state false values, and outliers: what one observation can change is
//     limited, and a lasting deviation ends in the upstream's own factor;
//   - answers of very different length: the caller's hint and the lengths seen for the
//     same route, customer and prompt are weighted by how far off each has been.
//
// Model is not safe for concurrent use.
package workmodel

import (
	"math"
	"time"
)

// Instance identifies one run of an upstream, see serving.Upstream.Instance.
type Instance = uint64

// Work holds the properties of a request that its cost depends on.
type Work struct {
	Service, Route, Customer string
	// Shared is the hash of the last shared part of the prompt, or 0.
	Shared uint64
	// Unread is the number of prompt tokens that the upstream's prefix cache probably
	// lacks, and Prompt the length of the whole prompt; 0 means the same as Unread.
	Unread, Prompt int
	// MaxOutput is the maximum number of output tokens; 0 means not stated.
	MaxOutput int
	// LengthHint is the caller's estimate of the output tokens; 0 means no hint.
	LengthHint int
}

// Beside is the load of the other requests on an upstream, those of all entries together.
type Beside struct {
	// Running is the number of requests there, including those that wait for a slot.
	Running int
	// Slots is the number of requests that the upstream runs at a time; 0 if unknown.
	Slots int
	// Unread is the number of prompt tokens still to be prefilled, Remaining that of
	// output tokens still to be generated, and Memory that of tokens in the KV cache.
	Unread, Remaining, Memory int
	// Percent is the time that work takes there at the moment in percent of the usual
	// time, as the upstream stated it PercentAge ago; 0 means not stated.
	Percent    float64
	PercentAge time.Duration
}

// Prediction is the predicted cost of a request. The fields ending in High are exceeded by
// one request in ten.
type Prediction struct {
	// First is the time to the first event.
	First, FirstHigh time.Duration
	// Pause is the longest time between two events.
	Pause, PauseHigh time.Duration
	// End is the time to the end of the answer.
	End time.Duration
	// Output is the number of output tokens.
	Output, OutputHigh int
}

const (
	// maxUpstreams and maxServices limit the memory of a model.
	maxUpstreams = 1024
	maxServices  = 256
	// maxCount limits counts of requests and maxTokens counts of tokens.
	maxCount  = 4096
	maxTokens = 4 << 20
	// maxDuration limits observed times; longer ones are ignored.
	maxDuration = time.Hour
)

// Model holds what was learned of all services and upstreams.
type Model struct {
	services  map[string]*service
	upstreams map[Instance]*upstream
	lengths   lengths
	// unknown predicts for services without samples.
	unknown *service
	// observations counts the observations that created or updated an upstream.
	observations uint64
	// firstMeans and stepMeans are reused buffers of center.
	firstMeans, stepMeans []float64
	// last is the request of the last prediction, with what does not depend on the
	// upstream: one request is predicted for many upstreams in a row.
	last struct {
		valid   bool
		work    Work
		service *service
		prompt  prompt
		length  length
		// events is the logarithm of the number of events.
		events float64
	}
}

// New returns a model without samples.
func New() *Model {
	return &Model{services: map[string]*service{}, upstreams: map[Instance]*upstream{}, unknown: newService()}
}

// Predict predicts the cost of a request on an upstream. It allocates nothing.
func (m *Model) Predict(id Instance, w *Work, b Beside) Prediction {
	if !m.last.valid || m.last.work != *w {
		m.prepare(w)
	}
	s, u := m.last.service, m.upstreams[id]
	if u != nil && u.service != s {
		u = nil
	}
	b.clip()
	host := s.statement(u, &b)
	first, _, _, _ := s.firstTotal(u, m.last.prompt, &b, &host)
	slowdown := host.slowdown(first + longHorizonMs)
	pause := s.pauseTotal(u, &b, m.last.events, slowdown)
	token := s.token.predict(tokenTerms(&b)) * stepFactor(u) * slowdown
	firstMs, firstHigh := s.firstRatios.apply(first)
	pauseMs, pauseHigh := s.pauseRatios.apply(pause)
	return Prediction{
		First: millis(firstMs), FirstHigh: millis(firstHigh), Pause: millis(pauseMs), PauseHigh: millis(pauseHigh),
		End:    millis(firstMs + token*float64(m.last.length.typical)),
		Output: m.last.length.typical, OutputHigh: m.last.length.high,
	}
}

// prepare computes what does not depend on the upstream.
func (m *Model) prepare(w *Work) {
	m.last.valid, m.last.work = true, *w
	if m.last.service = m.services[w.Service]; m.last.service == nil {
		m.last.service = m.unknown
	}
	m.last.prompt, m.last.length = promptOf(w), m.lengths.predict(w)
	m.last.events = eventsTerm(m.last.length.typical)
}

// ObserveFirst records the time from sending a request to its first event. The argument b
// is the load that its prediction was made for.
func (m *Model) ObserveFirst(id Instance, w *Work, b Beside, took time.Duration) {
	if !plausible(took) {
		return
	}
	s, u := m.observed(id, w.Service)
	b.clip()
	own := promptOf(w)
	host := s.statement(u, &b)
	total, raw, slowdown, queued := s.firstTotal(u, own, &b, &host)
	ms := inMillis(took)
	residual := math.Log(ms / total)
	s.firstRatios.observe(total, residual)
	if queued > 0 {
		// The time in the queue says little about the terms.
		return
	}
	terms := s.firstTerms(own, &b)
	if u == nil {
		s.first.observe(terms, raw, residual, s.firstRatios.clip())
	} else {
		s.first.observe(terms, raw, forService(residual, u.firstScale), s.firstRatios.clip())
		u.observeTrust(s, &host, slowdown, residual)
		u.first.observe(math.Log(ms/(raw*slowdown)), s.first.maturity())
		u.combine()
	}
	s.observeContext(w)
	s.observePercent(&b)
	if int(s.first.samples)%centerEvery == 0 {
		m.center(s)
	}
}

// ObserveGap records the time between two events of a stream. The argument b is the load
// at the first of them. The gaps of upstreams whose first events were never observed are
// ignored, because their service is not known.
func (m *Model) ObserveGap(id Instance, b Beside, gap time.Duration) {
	u := m.upstreams[id]
	if u == nil || !plausible(gap) {
		return
	}
	s := u.service
	b.clip()
	terms := s.gapTerms(&b)
	raw := s.gap.predict(terms)
	host := s.statement(u, &b)
	slowdown := host.slowdown(raw)
	ms := inMillis(gap)
	s.gap.observe(terms, raw, forService(math.Log(ms/(raw*u.step.scale*slowdown)), u.step.scale), gapClip)
	weight := gapWeight
	if b.Unread > 0 {
		// Whether a prompt was processed during the gap is uncertain.
		weight = busyGapWeight
	}
	u.step.observe(math.Log(ms/(raw*slowdown)), weight*s.gap.maturity())
	u.combine()
}

// ObserveStream records a complete stream: its longest time between two events, the time
// from the first to the last event and the number of tokens. The argument b is the load
// that its prediction was made for.
func (m *Model) ObserveStream(id Instance, w *Work, b Beside, pause, rest time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	s, u := m.observed(id, w.Service)
	b.clip()
	host := s.statement(u, &b)
	first, _, _, _ := s.firstTotal(u, promptOf(w), &b, &host)
	slowdown := host.slowdown(first + longHorizonMs)
	if plausible(pause) {
		events := eventsTerm(m.lengths.predict(w).typical)
		p := s.pauseTotal(u, &b, events, slowdown)
		residual := math.Log(inMillis(pause) / p)
		terms := s.pauseTerms(&b, events)
		s.pauseRatios.observe(p, residual)
		s.pause.observe(terms, s.pause.predict(terms), forService(residual, stepFactor(u)), s.pauseRatios.clip())
	}
	if plausible(rest) {
		terms := tokenTerms(&b)
		raw := s.token.predict(terms)
		predicted := raw * stepFactor(u) * slowdown
		residual := math.Log(inMillis(rest) / float64(min(tokens, maxTokens)) / predicted)
		s.token.observe(terms, raw, forService(residual, stepFactor(u)), gapClip)
	}
}

// ObserveOutput records the number of tokens of a complete response.
func (m *Model) ObserveOutput(w *Work, tokens int) {
	if tokens <= 0 || tokens > maxTokens {
		return
	}
	m.lengths.observe(w, tokens)
	m.last.valid = false
}

// Retain drops the upstreams for which live returns false.
func (m *Model) Retain(live func(Instance) bool) {
	for id := range m.upstreams {
		if !live(id) {
			delete(m.upstreams, id)
		}
	}
}

// observed returns the service and the upstream of an observation and creates them if
// necessary. The upstream is nil if it is known as one of another service.
func (m *Model) observed(id Instance, name string) (*service, *upstream) {
	s := m.services[name]
	if s == nil {
		if len(m.services) >= maxServices {
			m.dropServices()
		}
		s = newService()
		m.services[name] = s
		m.last.valid = false
	}
	m.observations++
	u := m.upstreams[id]
	if u == nil {
		if len(m.upstreams) >= maxUpstreams {
			m.dropOldest()
		}
		u = newUpstream(s)
		m.upstreams[id] = u
	}
	u.observed = m.observations
	if u.service != s {
		return s, nil
	}
	return s, u
}

// dropOldest drops the upstream whose last observation is the oldest.
func (m *Model) dropOldest() {
	var oldest Instance
	at := uint64(math.MaxUint64)
	for id, u := range m.upstreams {
		if u.observed < at {
			oldest, at = id, u.observed
		}
	}
	delete(m.upstreams, oldest)
}

// dropServices drops the services without upstreams or, if each has one, all of them.
func (m *Model) dropServices() {
	used := map[*service]bool{}
	for _, u := range m.upstreams {
		used[u.service] = true
	}
	for name, s := range m.services {
		if !used[s] {
			delete(m.services, name)
		}
	}
	if len(m.services) >= maxServices {
		clear(m.services)
		clear(m.upstreams)
	}
	m.last.valid = false
}

// clip limits the effect of false values.
func (b *Beside) clip() {
	b.Running = min(max(b.Running, 0), maxCount)
	b.Slots = min(max(b.Slots, 0), maxCount)
	b.Unread = min(max(b.Unread, 0), maxTokens)
	b.Remaining = min(max(b.Remaining, 0), maxTokens)
	b.Memory = min(max(b.Memory, 0), maxTokens)
}

func plausible(d time.Duration) bool { return d > 0 && d <= maxDuration }

func inMillis(d time.Duration) float64 { return float64(d) * (1.0 / float64(time.Millisecond)) }

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
