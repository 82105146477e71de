package operator

import (
	"time"

	"jaylink/decision/reason"
	"jaylink/decision/route"
)

// DecisionKind says what was decided, or what was seen that led to a decision.
type DecisionKind string

// The kinds of decisions.
const (
	DecisionAccepted DecisionKind = "accepted"
	DecisionRefused  DecisionKind = "refused"
	// DecisionLimited has the values that a limit saw when it refused.
	DecisionLimited DecisionKind = "limited"
	// DecisionRouted has the candidates with the values that routing saw.
	DecisionRouted DecisionKind = "routed"
	// DecisionFailed is the end of an attempt that did not succeed.
	DecisionFailed   DecisionKind = "attempt_failed"
	DecisionAnswered DecisionKind = "answered"
	// DecisionMoved is a request that went to another entry or upstream.
	DecisionMoved DecisionKind = "moved"
	// DecisionTaken is a request that this entry drives from now on, because
	// its owner handed it over or is lost.
	DecisionTaken DecisionKind = "taken_over"
	// DecisionReclaimed is a reclaim notice for this entry's own host.
	DecisionReclaimed DecisionKind = "reclaimed"
	// DecisionLease is a change of the holder of the lease for orders.
	DecisionLease DecisionKind = "lease"
	// DecisionLeaving and DecisionBack are changes of an upstream.
	DecisionLeaving DecisionKind = "leaving"
	DecisionBack    DecisionKind = "back"
	// DecisionOrdered is an order to an engine.
	DecisionOrdered DecisionKind = "ordered"
)

// Decision is one line of an entry's decision record. It has nothing of a
// prompt or an answer.
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
	// Detail has further values as "key=value" pairs.
	Detail string `json:"detail,omitempty"`
	// Candidates are the best candidates of a routing, best first.
	Candidates []route.Candidate `json:"candidates,omitempty"`
	// LeftOut counts the upstreams that each filter kept out.
	LeftOut map[string]int `json:"left_out,omitempty"`
}

// DecisionList is the answer to a call for decisions.
type DecisionList struct {
	Entry string `json:"entry"`
	// Since is the time of the oldest decision that the entry still has.
	Since time.Time `json:"since"`
	// Items are in the order of time.
	Items []Decision `json:"items"`
}

// DecisionQuery selects decisions; empty fields select all.
type DecisionQuery struct {
	RequestID string
	Upstream  string
	// Limit keeps the newest ones only; 0 means all.
	Limit int
}
