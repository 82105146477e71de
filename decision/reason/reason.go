// Package reason enumerates why requests are refused and attempts repeated, and
// what is known about whether a request was executed. Metrics, problem bodies,
// logs and explanations of decisions all use these values.
package reason

// Reason says why a request was refused or an attempt was repeated.
type Reason string

// Reasons for refusing or abandoning a request.
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
	// UpstreamsPaused means that every upstream of the service has asked not to
	// be sent requests until some later time.
	UpstreamsPaused Reason = "upstreams_rest"
	// UpstreamsLimited means that the limits that the upstreams of the service have
	// stated allow no more requests now.
	UpstreamsLimited Reason = "upstreams_limited"
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
	PoisonPart       Reason = "poison_part"
	AnswerTooLarge   Reason = "answer_too_large"
	// OwnerUnreachable means that an entry that may own the request could not
	// be reached.
	OwnerUnreachable Reason = "owner_unreachable"
	// DeadlineUnmet means that the request could no longer be answered before
	// its deadline, even if an upstream accepted it immediately.
	DeadlineUnmet Reason = "deadline_unmet"
	// MemoryFull means that the bodies of other requests take all memory that the entry
	// has for them.
	MemoryFull Reason = "memory_full"
	// NotReady means that the entry has not received a configuration yet.
	NotReady Reason = "not_ready"
	// Internal means that the handling of the request has panicked.
	Internal Reason = "internal"
)

// Refusals lists every refusal reason.
var Refusals = []Reason{
	BadRequest, BodyTooLarge, BodyTooSlow, HeaderTooLarge, WrongMethod, UnknownService, UnknownCustomer, UnknownRequest,
	WrongCustomer, Draining, CustomerLimit, QueueFull, NoUpstream, UpstreamsPaused, UpstreamsLimited, TimedOut,
	AttemptsUsedUp, NotRepeatable, RetryBudget, KeyReused, KeyInProgress,
	ClaimUnavailable, OutcomeUnknown, OutcomeNotKept, Poison, PoisonPart, AnswerTooLarge,
	OwnerUnreachable,
	DeadlineUnmet, NotReady, MemoryFull, Internal,
}

// Reasons for repeating an attempt.
const (
	ConnectFailed  Reason = "connect_failed"
	UpstreamBusy   Reason = "upstream_busy"
	UpstreamError  Reason = "upstream_error"
	StreamBroken   Reason = "stream_broken"
	UnconfirmedEnd Reason = "unconfirmed_end"
	NoAnswer       Reason = "no_answer"
	// InvalidStatus means that the upstream has sent a head that no response has. The request
	// may have run.
	InvalidStatus Reason = "invalid_status"
	AnswerTooLong Reason = "answer_too_long"
	// UnnamedRefusal means that a refusal may belong to another request, so that this one
	// may have run.
	UnnamedRefusal  Reason = "unnamed_refusal"
	UpstreamLeaving Reason = "upstream_leaving"
	Hedge           Reason = "hedge"
)

// Retries lists every retry reason.
var Retries = []Reason{
	ConnectFailed, UpstreamBusy, UpstreamError, StreamBroken, UnconfirmedEnd, NoAnswer, InvalidStatus, AnswerTooLong,
	UnnamedRefusal, UpstreamLeaving, Hedge,
}

// Ran states whether any part of a request was executed, as far as is known.
type Ran string

// The values of Ran.
const (
	// RanNo is used only if the request was sent to no upstream, or every
	// upstream that received it proved that it refused it before execution.
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Join combines the values of two attempts of the same request.
func (r Ran) Join(o Ran) Ran {
	switch {
	case r == RanYes || o == RanYes:
		return RanYes
	case r == RanUnknown || o == RanUnknown:
		return RanUnknown
	}
	return RanNo
}
