package reason

// Description explains a reason to operators and to developers of callers.
type Description struct {
	// Meaning is a one-sentence explanation.
	Meaning string
	// RetryAdvice states whether and when the caller may send the same request
	// again. It is empty for retry reasons, which callers do not see.
	RetryAdvice string
}

const (
	retryNever    = "no: change the request first"
	retryLater    = "yes, after Retry-After"
	retryIfNotRun = "yes, after Retry-After, if `ran` is `no` or the work is idempotent"
	lookUpOutcome = "no: look up what became of the work"
)

var descriptions = map[Reason]Description{
	BadRequest:       {"The request is malformed; `detail` says where.", retryNever},
	BodyTooLarge:     {"The body is over the setting limits.body.", retryNever},
	BodyTooSlow:      {"The body did not arrive within the setting timeouts.body.", "yes, at once"},
	HeaderTooLarge:   {"Target and headers are over the setting limits.header.", retryNever},
	WrongMethod:      {"The path is jaylink's own and has another method.", retryNever},
	UnknownService:   {"No service's selector matches the request.", retryNever},
	UnknownCustomer:  {"No customer's selector matches the request.", retryNever},
	UnknownRequest:   {"No entry knows a request of this ID.", retryNever},
	WrongCustomer:    {"The request belongs to another customer.", retryNever},
	Draining:         {"The entry is leaving and accepts nothing new.", retryLater},
	CustomerLimit:    {"The customer has as many requests in flight as max_in_flight allows.", retryLater},
	QueueFull:        {"Too many requests of the service wait already.", retryLater},
	NoUpstream:       {"No upstream would take the request.", retryLater},
	UpstreamsPaused:  {"All upstreams of the service have asked for no requests for a while.", retryLater},
	UpstreamsLimited: {"All upstreams of the service take only so many requests a second, and others use them.", retryLater},
	TimedOut:         {"The deadline passed before the answer was complete.", retryIfNotRun},
	AttemptsUsedUp:   {"Every attempt that max_attempts allows has failed.", retryIfNotRun},
	NotRepeatable:    {"An attempt failed and the work may not be repeated.", retryIfNotRun},
	RetryBudget:      {"An attempt failed and too many requests are being repeated already.", retryIfNotRun},
	KeyReused:        {"The idempotency key was used with another request before.", retryNever},
	KeyInProgress:    {"Another request with this idempotency key is still running.", retryLater},
	ClaimUnavailable: {"The idempotency key could not be claimed; nothing ran.", retryLater},
	OutcomeUnknown:   {"The work may have run under this key, but its outcome was lost.", lookUpOutcome},
	OutcomeNotKept:   {"The work ran under this key before; its answer was too large to keep.", lookUpOutcome},
	Poison:           {"The request has crashed too many upstreams.", retryNever},
	PoisonPart:       {"A part of the prompt has crashed too many upstreams.", retryNever},
	OwnerUnreachable: {"An entry that may have the request can't be reached now.", retryLater},
	DeadlineUnmet:    {"The request would wait longer than it has time; it was not run.", retryLater},
	NotReady:         {"The entry has just started and knows no configuration yet.", retryLater},
	Internal:         {"The entry has failed while it handled the request.", retryIfNotRun},
	MemoryFull:       {"The bodies of other requests take all memory that the entry has for them.", retryLater},
	AnswerTooLarge:   {"The upstream's answer is over the setting limits.answer.", lookUpOutcome},

	ConnectFailed:   {Meaning: "No connection to the upstream; nothing was sent."},
	UpstreamBusy:    {Meaning: "The upstream refused because it was full."},
	UpstreamError:   {Meaning: "The upstream answered with a status of 500 or more."},
	StreamBroken:    {Meaning: "The upstream's answer ended early."},
	UnconfirmedEnd:  {Meaning: "The answer ended with its connection, and its upstream did not confirm that it is whole."},
	NoAnswer:        {Meaning: "The connection ended without an answer."},
	InvalidStatus:   {Meaning: "The upstream answered with a status that no response has; the request may have run."},
	AnswerTooLong:   {Meaning: "The upstream sent more bytes than an answer, its head or one event may have."},
	UnnamedRefusal:  {Meaning: "The upstream's refusal named no request and may belong to another one."},
	UpstreamLeaving: {Meaning: "The upstream is leaving."},
	Hedge:           {Meaning: "An urgent idempotent request had no answer yet."},
}

// Describe returns the description of a reason, and false if the reason is
// not defined in this package.
func Describe(r Reason) (Description, bool) {
	d, ok := descriptions[r]
	return d, ok
}
