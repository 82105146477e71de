// Package reason is the one enumeration of why a request was refused or an
// attempt repeated, and of what is known about whether it ran. Counters,
// problem bodies, logs and explanations all use these values.
package reason

// Reason says why a request was refused or an attempt was repeated.
type Reason string

// Reasons for refusing a request, or for giving it up.
const (
	BadRequest      Reason = "bad_request"
	BodyTooLarge    Reason = "body_too_large"
	BodyTooSlow     Reason = "body_too_slow"
	HeaderTooLarge  Reason = "header_too_large"
	WrongMethod     Reason = "wrong_method"
	UnknownService  Reason = "unknown_service"
	UnknownCustomer Reason = "unknown_customer"
	UnknownRequest  Reason = "unknown_request"
	WrongCustomer   Reason = "wrong_customer"
	Draining        Reason = "draining"
	CustomerLimit   Reason = "customer_limit"
	QueueFull       Reason = "queue_full"
	NoUpstream      Reason = "no_upstream"
	// UpstreamsRest means that all upstreams of the service have asked for no requests
	// for a while.
	UpstreamsRest    Reason = "upstreams_rest"
	TimedOut         Reason = "timed_out"
	AttemptsUsedUp   Reason = "attempts_used_up"
	NotRepeatable    Reason = "not_repeatable"
	RetryBudget      Reason = "retry_budget"
	KeyReused        Reason = "key_reused"
	KeyInProgress    Reason = "key_in_progress"
	ClaimUnavailable Reason = "claim_unavailable"
	OutcomeUnknown   Reason = "outcome_unknown"
	OutcomeNotKept   Reason = "outcome_not_kept"
	Poison           Reason = "poison"
	AnswerTooLarge   Reason = "answer_too_large"
	// OwnerUnreachable means that an entry which may have the request could
	// not be asked.
	OwnerUnreachable Reason = "owner_unreachable"
	// DeadlineUnmet means that the request could not be answered before its
	// deadline any more, however soon an upstream took it.
	DeadlineUnmet Reason = "deadline_unmet"
	// NotReady means that the entry has no configuration yet.
	NotReady Reason = "not_ready"
)

// Refusals lists every refusal reason.
var Refusals = []Reason{
	BadRequest, BodyTooLarge, BodyTooSlow, HeaderTooLarge, WrongMethod, UnknownService, UnknownCustomer, UnknownRequest,
	WrongCustomer, Draining, CustomerLimit, QueueFull, NoUpstream, UpstreamsRest, TimedOut,
	AttemptsUsedUp, NotRepeatable, RetryBudget, KeyReused, KeyInProgress,
	ClaimUnavailable, OutcomeUnknown, OutcomeNotKept, Poison, AnswerTooLarge,
	OwnerUnreachable,
	DeadlineUnmet, NotReady,
}

// Reasons for repeating an attempt.
const (
	ConnectFailed   Reason = "connect_failed"
	UpstreamBusy    Reason = "upstream_busy"
	UpstreamError   Reason = "upstream_error"
	StreamBroken    Reason = "stream_broken"
	NoAnswer        Reason = "no_answer"
	AnswerTooLong   Reason = "answer_too_long"
	UpstreamLeaving Reason = "upstream_leaving"
	Hedge           Reason = "hedge"
)

// Retries lists every retry reason.
var Retries = []Reason{
	ConnectFailed, UpstreamBusy, UpstreamError, StreamBroken, NoAnswer, AnswerTooLong,
	UpstreamLeaving, Hedge,
}

// Ran says what is known about whether any part of a request was executed.
type Ran string

// The values of Ran.
const (
	// RanNo is said only if no upstream was given the request, or each one
	// that was proved that it refused before running it.
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Join combines what is known about two attempts of one request.
func (r Ran) Join(o Ran) Ran {
	switch {
	case r == RanYes || o == RanYes:
		return RanYes
	case r == RanUnknown || o == RanUnknown:
		return RanUnknown
	}
	return RanNo
}
