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

// maxCandidates bounds the candidates that a recorded decision keeps.
const maxCandidates = 6

// decisionRecord keeps the last decisions of the entry in a ring, so that its
// memory is bounded. It has nothing of a prompt or an answer.
type decisionRecord struct {
	entry string
	mu    sync.Mutex
	ring  []operator.Decision
	next  int
}

func newDecisionRecord(entry string, size int) *decisionRecord {
	return &decisionRecord{entry: entry, ring: make([]operator.Decision, 0, size)}
}

// add keeps a decision in place of the oldest one.
func (r *decisionRecord) add(d operator.Decision) {
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

// list returns the decisions that a query selects, in the order of time.
func (r *decisionRecord) list(q operator.DecisionQuery) operator.DecisionList {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := operator.DecisionList{Entry: r.entry, Items: []operator.Decision{}}
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if i == 0 {
			out.Since = d.At
		}
		if selects(q, d) {
			out.Items = append(out.Items, d)
		}
	}
	if q.Limit > 0 && len(out.Items) > q.Limit {
		out.Items = out.Items[len(out.Items)-q.Limit:]
	}
	return out
}

func selects(q operator.DecisionQuery, d operator.Decision) bool {
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

// recent returns the newest decisions that are about the fleet and not about
// one request.
func (r *decisionRecord) recent(limit int) []operator.Decision {
	var out []operator.Decision
	for _, d := range r.list(operator.DecisionQuery{}).Items {
		switch d.Kind {
		case operator.DecisionLeaving, operator.DecisionBack, operator.DecisionMoved, operator.DecisionTaken,
			operator.DecisionReclaimed, operator.DecisionLease, operator.DecisionOrdered:
			out = append(out, d)
		}
	}
	return out[max(len(out)-limit, 0):]
}

// observer records what the core saw when it routed or refused a request.
type observer struct {
	decisions *decisionRecord
	table     func() *route.Table
}

// Accepted implements decision.Observer.
func (o *observer) Accepted(now time.Time, id string, res *api.Resolution) {
	o.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionAccepted, RequestID: id, Service: res.Service.Name, Customer: res.Customer.Name,
		Detail: fmt.Sprintf("class=%s idempotent=%v max_attempts=%d timeout=%s policies=%s",
			res.Class, res.Idempotent, res.MaxAttempts, res.Timeout, strings.Join(res.Policies, ",")),
	})
}

// Routed implements decision.Observer.
func (o *observer) Routed(now time.Time, r *route.Request, attempt int, picked string) {
	candidates, leftOut := o.table().Explain(now, r, maxCandidates)
	o.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionRouted, RequestID: r.ID, Service: r.Service, Customer: r.Customer,
		Upstream: picked, Attempt: attempt, Candidates: candidates, LeftOut: leftOut,
	})
}

// Limited implements decision.Observer. The refusal itself is recorded by the
// driver; this adds the values that the limit saw.
func (o *observer) Limited(now time.Time, id string, r *admission.Request, why reason.Reason) {
	o.decisions.add(operator.Decision{
		At: now, Kind: operator.DecisionLimited, RequestID: id, Service: r.Service, Customer: r.Customer, Reason: why,
		Detail: fmt.Sprintf("queued=%d queue_length=%d customer_in_flight=%d max_in_flight=%d entries=%d slots=%d service_time=%s",
			r.Queued, r.QueueLength, r.CustomerInFlight, r.MaxInFlight, r.Entries, r.Slots, r.ServiceTime),
	})
}
