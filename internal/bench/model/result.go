package model

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jaylink/decision/reason"
	"jaylink/internal/workload"
)

// Prices and sizes of the traffic between regions; prices are in the currency of the
// bill.
const (
	linkPricePerByte  = 0.02 / 1e9 // between regions
	bytesPerToken     = 160        // of a streamed answer, including framing
	bytesPerPromptTok = 7
)

// request is one request from the view of its caller.
type request struct {
	arrival    workload.Arrival
	id         string
	start      time.Duration
	first      time.Duration
	last       time.Duration
	generated  int
	dispatches int
	prefilled  bool
}

// token records the arrival of n tokens.
func (q *request) token(now time.Duration, n int) {
	if q.generated == 0 {
		q.first = now
	}
	q.last = now
	q.generated += n
}

// within reports whether an answer that is complete at end met its latency targets.
func (q *request) within(end time.Duration) bool {
	s := q.arrival.Stream
	if t := s.Whole.Std(); t > 0 && end-q.start > t {
		return false
	}
	if t := s.FirstToken.Std(); t > 0 && q.first-q.start > t {
		return false
	}
	gaps := time.Duration(max(q.generated-1, 1))
	t := s.BetweenTokens.Std()
	return t == 0 || (q.last-q.first)/gaps <= t
}

// Stream has the results of one kind of request.
type Stream struct {
	Arrived, Answered, Within, Refused int
	// Latency is the time to the complete answer in microseconds.
	Latency   *hdrhistogram.Histogram
	generates bool
}

// Result has the figures of one run.
type Result struct {
	Streams map[string]*Stream
	Reasons map[reason.Reason]int
	// Cost is the total cost of hosts and traffic, in the currency of the prices.
	Cost float64
	// LinkBytes is the number of bytes sent between regions.
	LinkBytes float64
	// Recomputed counts the prompt and answer tokens that were computed although some
	// engine had computed them before.
	Recomputed int
	// Dispatches counts the attempts of answered requests.
	Dispatches int
}

const maxLatency = int64(time.Hour / time.Microsecond)

func newResult() *Result {
	return &Result{Streams: map[string]*Stream{}, Reasons: map[reason.Reason]int{}}
}

func (r *Result) stream(q *request) *Stream {
	s := r.Streams[q.arrival.Stream.Name]
	if s == nil {
		s = &Stream{Latency: hdrhistogram.New(1, maxLatency, 3), generates: q.arrival.Answer > 0}
		r.Streams[q.arrival.Stream.Name] = s
	}
	return s
}

func (r *Result) arrived(q *request) { r.stream(q).Arrived++ }

func (r *Result) refused(q *request, why reason.Reason) {
	r.stream(q).Refused++
	r.Reasons[why]++
}

func (r *Result) finished(q *request, now time.Duration) {
	s := r.stream(q)
	s.Answered++
	r.Dispatches += q.dispatches
	_ = s.Latency.RecordValue(max(1, (now - q.start).Microseconds()))
	if q.within(now) {
		s.Within++
	}
}

// bill adds the cost of an attempt's host time and of its traffic between regions.
func (r *Result) bill(run *run, busy time.Duration) {
	spec := run.engine.spec
	r.Cost += busy.Hours() * spec.PricePerHour / float64(run.engine.slots)
	if spec.Region == run.entry.site.Region {
		return
	}
	s := run.req.arrival.Stream
	bytes := float64((s.TemplateTokens+s.PromptTokens)*bytesPerPromptTok + run.req.generated*bytesPerToken)
	r.LinkBytes += bytes
	r.Cost += bytes * linkPricePerByte
}

// Generated returns how many requests for generated answers arrived, and how many were
// answered within their targets.
func (r *Result) Generated() (arrived, within int) {
	for _, s := range r.Streams {
		if s.generates {
			arrived += s.Arrived
			within += s.Within
		}
	}
	return arrived, within
}

// CostPerAnswer returns the cost per generated answer that met its targets.
func (r *Result) CostPerAnswer() float64 {
	_, within := r.Generated()
	return r.Cost / float64(max(within, 1))
}
