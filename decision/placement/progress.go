package placement

import (
	"slices"
	"time"

	"jaylink/decision/workmodel"
	"jaylink/serving"
)

// maxIdleRunning is the number of other requests up to which an upstream counts as idle,
// so that its answer updates the speed estimate. With more, the time to the first event
// would reflect the load and not the prefill rate.
const maxIdleRunning = 1

// Ticket represents one attempt on an upstream, from Start to End.
type Ticket struct {
	upstreamID string
	service    string
	load       Load
	started    time.Time
	// predicted is the predicted time to the first event.
	predicted     time.Duration
	hadFirstEvent bool
	ended         bool
	// startedIdle is set if the upstream was idle, and uncached if it had no part of the prompt
	// cached.
	startedIdle, uncached bool
	// slowdown is the upstream's slowdown when the attempt was started.
	slowdown float64
	// work and beside are what the work model was asked, if it predicted the attempt.
	work     workmodel.Work
	beside   workmodel.Beside
	instance workmodel.Instance
}

// isModelled reports whether the work model predicted the attempt.
func (t *Ticket) isModelled() bool { return t.work.Service != "" && t.instance != 0 }

// Start records that an attempt is being sent and returns its ticket.
func (t *Table) Start(now time.Time, c Choice, prompt *serving.Prompt) *Ticket {
	ticket := &Ticket{upstreamID: c.Upstream.ID, service: c.Upstream.Service, load: c.Load, started: now, predicted: c.Predicted, work: c.work, beside: c.beside}
	if s := t.states[ticket.upstreamID]; s != nil {
		ticket.slowdown, ticket.instance = s.slow.factor(now), s.instance
		ticket.startedIdle, ticket.uncached = s.ownLoad.Running+s.peerLoad.Running <= maxIdleRunning, c.cachedTokens == 0
		s.ownLoad.add(c.Load)
		t.estimate(ticket.service).tokens += float64(c.Load.PrefillTokens)
		s.prefilling = append(s.prefilling, ticket)
		if prompt != nil {
			s.cache.touch(prompt.Parts)
		}
	}
	return ticket
}

// FirstEvent records the first event of an answer, at which the upstream has processed
// the prompt.
func (t *Table) FirstEvent(now time.Time, ticket *Ticket) {
	if ticket.hadFirstEvent || ticket.ended {
		return
	}
	ticket.hadFirstEvent = true
	if ticket.startedIdle {
		took := time.Duration(float64(now.Sub(ticket.started)) / ticket.slowdown)
		t.estimate(ticket.service).observeFirstEvent(ticket.load.PrefillTokens, took, ticket.uncached)
	}
	if ticket.isModelled() {
		t.model.ObserveFirst(ticket.instance, &ticket.work, ticket.beside, now.Sub(ticket.started))
	}
	if s := t.states[ticket.upstreamID]; s != nil {
		s.ownLoad.sub(Load{PrefillTokens: ticket.load.PrefillTokens})
		s.removePrefilling(ticket)
	}
	ticket.load.PrefillTokens = 0
}

// Outcome states how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Answered means that the answer was complete.
	Answered Outcome = iota
	// Declined means that a busy upstream refused the attempt.
	Declined
	// Failed means that the attempt had an error or no usable answer.
	Failed
	// Unreachable means that the upstream could not be connected to or stopped
	// responding.
	Unreachable
	// Abandoned means that the caller ended the attempt.
	Abandoned
)

// outcomeWeight is the weight of one outcome in the failure rate.
const outcomeWeight = 0.15

// End records the end of an attempt.
func (t *Table) End(now time.Time, ticket *Ticket, outcome Outcome) {
	if ticket.ended {
		return
	}
	ticket.ended = true
	s := t.states[ticket.upstreamID]
	if s == nil {
		return
	}
	s.ownLoad.sub(ticket.load)
	s.removePrefilling(ticket)
	failure := 0.0
	switch outcome {
	case Abandoned:
		return
	case Answered:
		t.estimate(ticket.service).observeSlotTime(now.Sub(ticket.started))
		s.consecutiveFailures = 0
		s.avoidUntil = time.Time{}
	case Failed:
		failure = 1
	case Declined:
		s.avoidUntil = now.Add(minAvoidTime / 4)
	case Unreachable:
		failure = 1
		s.avoidUntil = now.Add(min(minAvoidTime<<min(s.consecutiveFailures, 8), maxAvoidTime))
		s.consecutiveFailures++
	}
	s.failureRate = s.decayedFailureRate(now)*(1-outcomeWeight) + failure*outcomeWeight
	s.failureRateAt = now
}

// minUnreadShare is the share of a prompt that counts as unprocessed until its first
// event, however much time has passed.
const minUnreadShare = 0.2

// remainingUnread estimates the number of tokens of this entry's prompts that still have
// to be processed. Prompts are assumed to progress linearly over the predicted time to
// the first event.
func (s *upstreamState) remainingUnread(now time.Time) int {
	sum := 0.0
	for _, ticket := range s.prefilling {
		left := 1 - float64(now.Sub(ticket.started))/float64(ticket.predicted+1)
		sum += float64(ticket.load.PrefillTokens) * max(left, minUnreadShare)
	}
	return int(sum)
}

func (s *upstreamState) removePrefilling(ticket *Ticket) {
	s.prefilling = slices.DeleteFunc(s.prefilling, func(o *Ticket) bool { return o == ticket })
}

// ReportRequests records the number of running and waiting requests that an upstream itself
// reported.
func (t *Table) ReportRequests(now time.Time, id string, requests int) {
	if s := t.states[id]; s != nil {
		s.reported, s.reportedAt = requests, now
	}
}

// Loads returns this entry's own load by upstream ID.
func (t *Table) Loads(now time.Time) map[string]Load {
	out := make(map[string]Load)
	for id, s := range t.states {
		if s.ownLoad != (Load{}) {
			l := s.ownLoad
			l.PrefillTokens = s.remainingUnread(now)
			out[id] = l
		}
	}
	return out
}

// peerReport is the load of another entry on an upstream, as last reported.
type peerReport struct {
	state *upstreamState
	load  Load
}

// SetPeerLoads replaces the loads, by upstream ID, that another entry reported.
func (t *Table) SetPeerLoads(entry string, loads map[string]Load) {
	reports := t.peerReports[entry]
	for _, h := range reports {
		h.state.peerLoad.sub(h.load)
	}
	reports = reports[:0]
	for id, load := range loads {
		if s := t.states[id]; s != nil {
			s.peerLoad.add(load)
			reports = append(reports, peerReport{s, load})
		}
	}
	if len(reports) == 0 {
		delete(t.peerReports, entry)
		return
	}
	t.peerReports[entry] = reports
}

// TokensPerMs returns the estimated rate at which an upstream of a service processes
// (prefills) prompts.
func (t *Table) TokensPerMs(service string) float64 { return t.estimate(service).tokensPerMs }

// PrefillTime returns how long a single upstream of a service would take to process the
// prompts that share their upstream with other requests. A prompt that is alone on its
// upstream is not counted, because more upstreams would not speed it up.
func (t *Table) PrefillTime(service string) time.Duration {
	unread := 0
	for _, s := range t.byService[service] {
		if s.ownLoad.Running+s.peerLoad.Running > 1 {
			unread += s.ownLoad.PrefillTokens + s.peerLoad.PrefillTokens
		}
	}
	return millis(float64(unread) / t.estimate(service).tokensPerMs)
}

// Total returns the load of all entries on the upstreams of a service.
func (t *Table) Total(service string) Load {
	var sum Load
	for _, s := range t.byService[service] {
		sum.add(s.ownLoad)
		sum.add(s.peerLoad)
	}
	return sum
}
