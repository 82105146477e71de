package placement

import (
	"slices"
	"time"

	"jaylink/serving"
)

// aloneRunning is how many other requests an upstream may run for its answer to
// teach how fast prompts are read; with more, it would teach how busy it is.
const aloneRunning = 1

// Ticket stands for one attempt on an upstream, from Start to End.
type Ticket struct {
	id      string
	service string
	load    Load
	started time.Time
	// expected is how long the first event was predicted to take.
	expected time.Duration
	first    bool
	ended    bool
	alone    bool
}

// Start counts an attempt that is being sent.
func (t *Table) Start(now time.Time, c Choice, prompt *serving.Prompt) *Ticket {
	ticket := &Ticket{id: c.Upstream.ID, service: c.Upstream.Service, load: c.Load, started: now, expected: c.Predicted}
	if p := t.places[ticket.id]; p != nil {
		ticket.alone = p.own.Running+p.peers.Running <= aloneRunning && c.kept == 0
		p.own.add(c.Load)
		p.reading = append(p.reading, ticket)
		if prompt != nil {
			p.cache.use(prompt.Parts)
		}
	}
	return ticket
}

// FirstEvent tells that the upstream has read the prompt.
func (t *Table) FirstEvent(now time.Time, k *Ticket) {
	if k.first || k.ended {
		return
	}
	k.first = true
	if k.alone {
		t.speed(k.service).read(k.load.Unread, now.Sub(k.started))
	}
	if p := t.places[k.id]; p != nil {
		p.own.sub(Load{Unread: k.load.Unread})
		p.stopReading(k)
	}
	k.load.Unread = 0
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes.
const (
	// Answered attempts had a whole answer.
	Answered Outcome = iota
	// Declined attempts were turned away by a busy upstream.
	Declined
	// Failed attempts had an error, or no usable answer.
	Failed
	// Unreachable attempts found nobody, or an upstream that has gone silent.
	Unreachable
	// Abandoned attempts were ended by the caller.
	Abandoned
)

// failingStep is the weight of one outcome in the share of failures.
const failingStep = 0.15

// End counts the end of an attempt.
func (t *Table) End(now time.Time, k *Ticket, outcome Outcome) {
	if k.ended {
		return
	}
	k.ended = true
	p := t.places[k.id]
	if p == nil {
		return
	}
	p.own.sub(k.load)
	p.stopReading(k)
	share := 0.0
	switch outcome {
	case Abandoned:
		return
	case Answered:
		t.speed(k.service).held(now.Sub(k.started))
		p.failures = 0
		p.avoidUntil = time.Time{}
	case Failed:
		share = 1
	case Declined:
		p.avoidUntil = now.Add(avoidBase / 4)
	case Unreachable:
		share = 1
		p.avoidUntil = now.Add(min(avoidBase<<min(p.failures, 8), avoidMax))
		p.failures++
	}
	p.failing = p.failureShare(now)*(1-failingStep) + share*failingStep
	p.failingAt = now
}

// leastUnread is the part of a prompt that counts as unread until its first
// event, however long it has taken.
const leastUnread = 0.2

// unread returns what of this entry's prompts is still to be read: what was sent
// a while ago is partly read.
func (p *place) unread(now time.Time) int {
	sum := 0.0
	for _, k := range p.reading {
		left := 1 - float64(now.Sub(k.started))/float64(k.expected+1)
		sum += float64(k.load.Unread) * max(left, leastUnread)
	}
	return int(sum)
}

func (p *place) stopReading(k *Ticket) {
	p.reading = slices.DeleteFunc(p.reading, func(o *Ticket) bool { return o == k })
}

// Told takes an upstream's own number of requests, running and waiting.
func (t *Table) Told(now time.Time, id string, requests int) {
	if p := t.places[id]; p != nil {
		p.told, p.toldAt = requests, now
	}
}

// Loads returns this entry's own work by upstream.
func (t *Table) Loads(now time.Time) map[string]Load {
	out := make(map[string]Load)
	for id, p := range t.places {
		if p.own != (Load{}) {
			l := p.own
			l.Unread = p.unread(now)
			out[id] = l
		}
	}
	return out
}

// heardLoad is an entry's work on an upstream, as it said last.
type heardLoad struct {
	place *place
	load  Load
}

// Hear takes another entry's work, in place of what it said before.
func (t *Table) Hear(entry string, loads map[string]Load) {
	told := t.heard[entry]
	for _, h := range told {
		h.place.peers.sub(h.load)
	}
	told = told[:0]
	for id, load := range loads {
		if p := t.places[id]; p != nil {
			p.peers.add(load)
			told = append(told, heardLoad{p, load})
		}
	}
	if len(told) == 0 {
		delete(t.heard, entry)
		return
	}
	t.heard[entry] = told
}

// TokensPerMs returns the rate at which the upstreams of a service read prompts,
// as learned so far.
func (t *Table) TokensPerMs(service string) float64 { return t.speed(service).tokensPerMs }

// ReadingTime returns how long one upstream of a service would take to read the prompts
// that share theirs with other requests. One that is alone would not be read sooner by
// more upstreams.
func (t *Table) ReadingTime(service string) time.Duration {
	unread := 0
	for _, p := range t.services[service] {
		if p.own.Running+p.peers.Running > 1 {
			unread += p.own.Unread + p.peers.Unread
		}
	}
	return millis(float64(unread) / t.speed(service).tokensPerMs)
}

// Total returns the work of all entries on the upstreams of a service.
func (t *Table) Total(service string) Load {
	var sum Load
	for _, p := range t.services[service] {
		sum.add(p.own)
		sum.add(p.peers)
	}
	return sum
}
