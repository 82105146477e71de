package placement

import (
	"math"
	"time"
)

const (
	// Bounds on a reported slowdown. An upstream that reports a value beyond them counts
	// with the nearest bound, so that no report excludes or attracts it without limit.
	minSlowdown, maxSlowdown = 0.25, 8
	// slowdownStep is the factor by which one report moves the usual slowdown of an
	// upstream. With it, the usual value follows the median of the reports.
	slowdownStep = 1.15
	// slowdownDecay is the time constant with which a report loses its weight against
	// the usual slowdown. Hosts are slowed by their neighbours for about half a second.
	slowdownDecay = 400 * time.Millisecond
	// slowdownLifetime is how long a report is passed on to the other entries.
	slowdownLifetime = time.Second
)

// slowdown is the time that work takes on an upstream in relation to the usual, according
// to the upstream's reports. The zero value is that of an upstream without reports.
type slowdown struct {
	// usual is the median of the reports, current the latest one, of the time at.
	usual, current float64
	at             time.Time
	// ownAt is when this entry itself last received a report, and own that report.
	ownAt time.Time
	own   float64
}

// report records a reported slowdown. Reports that are not newer than the latest one are
// ignored, because peers pass on the same report repeatedly.
func (s *slowdown) report(at time.Time, value float64) {
	if !at.After(s.at) || !(value > 0) {
		return
	}
	value = min(max(value, minSlowdown), maxSlowdown)
	s.current, s.at = value, at
	switch {
	case s.usual == 0:
		s.usual = value
	case value > s.usual:
		s.usual = min(s.usual*slowdownStep, value)
	default:
		s.usual = max(s.usual/slowdownStep, value)
	}
}

// factor returns the expected slowdown, 1 if nothing is known.
func (s *slowdown) factor(now time.Time) float64 {
	age := max(now.Sub(s.at), 0)
	if s.usual == 0 || age > 8*slowdownDecay {
		return s.usualFactor()
	}
	return s.usual + (s.current-s.usual)*math.Exp(-float64(age)/float64(slowdownDecay))
}

// usualFactor returns the usual slowdown, 1 if nothing is known.
func (s *slowdown) usualFactor() float64 {
	if s.usual == 0 {
		return 1
	}
	return s.usual
}

// ReportSlowdown records that work on an upstream takes value times as long as usual,
// as the upstream told this entry.
func (t *Table) ReportSlowdown(now time.Time, id string, value float64) {
	if s := t.states[id]; s != nil && value > 0 {
		t.sharedHosts[s.Service] = true
		s.slow.report(now, value)
		s.slow.own, s.slow.ownAt = value, now
	}
}

// slowUpstream is the usual slowdown from which on an upstream counts as slow.
const slowUpstream = 1.5

// SlowUpstreams returns the number of upstreams that usually take long for their work.
func (t *Table) SlowUpstreams() int {
	n := 0
	for _, s := range t.states {
		if s.slow.usual >= slowUpstream {
			n++
		}
	}
	return n
}

// Slowdown is a report of an upstream, passed on to other entries.
type Slowdown struct {
	// Value is the time that work takes, in relation to the usual.
	Value float64
	// Age is the time since the upstream's report.
	Age time.Duration
}

// Slowdowns returns the recent reports of upstreams to this entry, by upstream ID.
func (t *Table) Slowdowns(now time.Time) map[string]Slowdown {
	var out map[string]Slowdown
	for id, s := range t.states {
		if age := now.Sub(s.slow.ownAt); s.slow.own > 0 && age <= slowdownLifetime {
			if out == nil {
				out = map[string]Slowdown{}
			}
			out[id] = Slowdown{s.slow.own, age}
		}
	}
	return out
}

// PeerSlowdown records a report that another entry has passed on.
func (t *Table) PeerSlowdown(now time.Time, id string, r Slowdown) {
	if s := t.states[id]; s != nil && r.Age >= 0 && r.Age <= 2*slowdownLifetime {
		t.sharedHosts[s.Service] = true
		s.slow.report(now.Add(-r.Age), r.Value)
	}
}
