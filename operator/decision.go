package operator

import (
	"time"

	"jaylink/decision/reason"
	"jaylink/decision/route"
)

// DecisionKind is the type of a decision or of an event that led to one.
type DecisionKind string

// The kinds of decisions.
const (
	DecisionAccepted DecisionKind = "accepted"
	DecisionRefused  DecisionKind = "refused"
	// DecisionLimited contains the input values of a limit that refused a
	// request.
	DecisionLimited DecisionKind = "limited"
	// DecisionRouted contains the candidates of a routing decision with the
	// values that it was based on.
	DecisionRouted DecisionKind = "routed"
	// DecisionFailed is a failed attempt.
	DecisionFailed   DecisionKind = "attempt_failed"
	DecisionAnswered DecisionKind = "answered"
	// DecisionMoved means that a request was moved to another entry or upstream.
	DecisionMoved DecisionKind = "moved"
	// DecisionTakenOver means that this entry took over a request because its
	// owner handed it over or failed.
	DecisionTakenOver DecisionKind = "taken_over"
	// DecisionReclaimed is a notice that this entry's own host is being
	// reclaimed.
	DecisionReclaimed DecisionKind = "reclaimed"
	// DecisionLease is a change of the holder of the lease for sending orders.
	DecisionLease DecisionKind = "lease"
	// DecisionLeaving means that an upstream is leaving, DecisionReturned that it
	// is not leaving any more.
	DecisionLeaving  DecisionKind = "leaving"
	DecisionReturned DecisionKind = "back"
	// DecisionOrdered is an order sent to an engine.
	DecisionOrdered DecisionKind = "ordered"
)

// Decision is one item of an entry's decision record. It never contains any part of
// a prompt or an answer.
type Decision struct {
	At        time.Time     `json:"at"`
	Entry     string        `json:"entry"`
	Kind      DecisionKind  `json:"kind"`
	RequestID string        `json:"request_id,omitempty"`
	Service   string        `json:"service,omitempty"`
	Customer  string        `json:"customer,omitempty"`
	Upstream  string        `json:"upstream,omitempty"`
	Peer      string        `json:"peer,omitempty"`
	Attempt   int           `json:"attempt,omitempty"`
	Reason    reason.Reason `json:"reason,omitempty"`
	Ran       reason.Ran    `json:"ran,omitempty"`
	// Detail contains further values as "key=value" pairs.
	Detail string `json:"detail,omitempty"`
	// Candidates are the best candidates of a routing decision, best first.
	Candidates []route.Candidate `json:"candidates,omitempty"`
	// LeftOut is the number of upstreams that each filter excluded.
	LeftOut map[string]int `json:"left_out,omitempty"`
}

// DecisionList is the response to a call for decisions.
type DecisionList struct {
	Entry string `json:"entry"`
	// Since is the time of the oldest decision in the record.
	Since time.Time `json:"since"`
	// Items are in chronological order.
	Items []Decision `json:"items"`
}

// DecisionQuery selects decisions; an empty field matches all.
type DecisionQuery struct {
	RequestID string
	Upstream  string
	// Limit is the maximum number of decisions; the newest are returned. 0 means
	// no limit.
	Limit int
}
