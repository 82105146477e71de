package entry

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"jaylink/api"
	"jaylink/decision/admission"
	"jaylink/decision/reason"
	"jaylink/decision/route"
	"jaylink/operator"
)

// maxCandidates bounds the routing candidates in a recorded decision.
const maxCandidates = 6

// decisionLog keeps the latest decisions of the entry in a ring buffer, which
// bounds its memory. It contains no part of a prompt or an answer.
type decisionLog struct {
	entry string
	mu    sync.Mutex
	ring  []operator.Decision
	next  int
}

func newDecisionLog(entry string, size int) *decisionLog {
	return &decisionLog{entry: entry, ring: make([]operator.Decision, 0, size)}
}

// add stores a decision. It overwrites the oldest one if the buffer is full.
func (r *decisionLog) add(d operator.Decision) {
	d.Entry = r.entry
	if d.At.IsZero() {
		d.At = time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, d)
		return
	}
	r.ring[r.next] = d
	r.next = (r.next + 1) % len(r.ring)
}

// list returns the decisions that match a query, oldest first.
func (r *decisionLog) list(q operator.DecisionQuery) operator.DecisionList {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := operator.DecisionList{Entry: r.entry, Items: []operator.Decision{}}
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if i == 0 {
			out.Since = d.At
		}
		if matches(q, d) {
			out.Items = append(out.Items, d)
		}
	}
	if q.Limit > 0 && len(out.Items) > q.Limit {
		out.Items = out.Items[len(out.Items)-q.Limit:]
	}
	return out
}

func matches(q operator.DecisionQuery, d operator.Decision) bool {
	if q.RequestID != "" && d.RequestID != q.RequestID {
		return false
	}
	return q.Upstream == "" || d.Upstream == q.Upstream || isCandidate(d, q.Upstream)
}

func isCandidate(d operator.Decision, upstream string) bool {
	for _, c := range d.Candidates {
		if c.Upstream == upstream {
			return true
		}
	}
	return false
}

// recent returns the latest decisions about the fleet, without those about
// single requests.
func (r *decisionLog) recent(limit int) []operator.Decision {
	var out []operator.Decision
	for _, d := range r.list(operator.DecisionQuery{}).Items {
		switch d.Kind {
		case operator.DecisionLeaving, operator.DecisionReturned, operator.DecisionMoved, operator.DecisionTakenOver,
			operator.DecisionReclaimed, operator.DecisionLease, operator.DecisionOrdered:
			out = append(out, d)
		}
	}
	return out[max(len(out)-limit, 0):]
}

// decisionObserver records the inputs on which the decision core accepted,
// routed or limited a request.
type decisionObserver struct {
	decisions *decisionLog
	table     func() *route.Table
}

// Accepted implements decision.Observer.
func (o *decisionObserver) Accepted(now time.Time, id string, res *api.Resolution) {
	o.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionAccepted, RequestID: id, Service: res.Service.Name, Customer: res.Customer.Name,
		Detail: fmt.Sprintf("class=%s idempotent=%v max_attempts=%d timeout=%s policies=%s",
			res.Class, res.Idempotent, res.MaxAttempts, res.Timeout, strings.Join(res.Policies, ",")),
	})
}

// Routed implements decision.Observer.
func (o *decisionObserver) Routed(now time.Time, r *route.Request, attempt int, picked string) {
	candidates, leftOut := o.table().Explain(now, r, maxCandidates)
	o.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionRouted, RequestID: r.ID, Service: r.Service, Customer: r.Customer,
		Upstream: picked, Attempt: attempt, Candidates: candidates, LeftOut: leftOut,
	})
}

// Limited implements decision.Observer. The driver records the refusal itself;
// this adds the values that the limit was checked against.
func (o *decisionObserver) Limited(now time.Time, id string, r *admission.Request, why reason.Reason) {
	o.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionLimited, RequestID: id, Service: r.Service, Customer: r.Customer, Reason: why,
		Detail: fmt.Sprintf("queued=%d queue_length=%d customer_in_flight=%d max_in_flight=%d entries=%d slots=%d service_time=%s",
			r.Queued, r.QueueLength, r.CustomerInFlight, r.MaxInFlight, r.Entries, r.Slots, r.ServiceTime),
	})
}
