package reason

// Description says what a reason means to those who meet it.
type Description struct {
	// Meaning is one sentence for operators and makers of callers.
	Meaning string
	// Again says when sending the same request again makes sense; it is
	// empty for retry reasons, which callers do not see.
	Again string
}

const (
	againNever  = "no: change the request first"
	againLater  = "yes, after Retry-After"
	againSafe   = "yes, after Retry-After, if `ran` is `no` or the work is idempotent"
	againLookup = "no: look up what became of the work"
)

var descriptions = map[Reason]Description{
	BadRequest:       {"The request is malformed; `detail` says where.", againNever},
	BodyTooLarge:     {"The body is over the setting limits.body.", againNever},
	BodyTooSlow:      {"The body did not arrive within the setting timeouts.body.", "yes, at once"},
	HeaderTooLarge:   {"Target and headers are over the setting limits.header.", againNever},
	WrongMethod:      {"The path is jaylink's own and has another method.", againNever},
	UnknownService:   {"No service's selector matches the request.", againNever},
	UnknownCustomer:  {"No customer's selector matches the request.", againNever},
	UnknownRequest:   {"No entry knows a request of this ID.", againNever},
	WrongCustomer:    {"The request belongs to another customer.", againNever},
	Draining:         {"The entry is leaving and accepts nothing new.", againLater},
	CustomerLimit:    {"The customer has as many requests in flight as max_in_flight allows.", againLater},
	QueueFull:        {"Too many requests of the service wait already.", againLater},
	NoUpstream:       {"No upstream would take the request.", againLater},
	UpstreamsRest:    {"All upstreams of the service have asked for no requests for a while.", againLater},
	TimedOut:         {"The deadline passed before the answer was complete.", againSafe},
	AttemptsUsedUp:   {"Every attempt that max_attempts allows has failed.", againSafe},
	NotRepeatable:    {"An attempt failed and the work may not be repeated.", againSafe},
	RetryBudget:      {"An attempt failed and too many requests are being repeated already.", againSafe},
	KeyReused:        {"The idempotency key was used with another request before.", againNever},
	KeyInProgress:    {"Another request with this idempotency key is still running.", againLater},
	ClaimUnavailable: {"The idempotency key could not be claimed; nothing ran.", againLater},
	OutcomeUnknown:   {"The work may have run under this key, but its outcome was lost.", againLookup},
	OutcomeNotKept:   {"The work ran under this key before; its answer was too large to keep.", againLookup},
	Poison:           {"The request has crashed too many upstreams.", againNever},
	OwnerUnreachable: {"An entry that may have the request can't be reached now.", againLater},
	DeadlineUnmet:    {"The request would wait longer than it has time; it was not run.", againLater},
	NotReady:         {"The entry has just started and knows no configuration yet.", againLater},
	AnswerTooLarge:   {"The upstream's answer is over the setting limits.answer.", againLookup},

	ConnectFailed:   {Meaning: "No connection to the upstream; nothing was sent."},
	UpstreamBusy:    {Meaning: "The upstream refused because it was full."},
	UpstreamError:   {Meaning: "The upstream answered with a status of 500 or more."},
	StreamBroken:    {Meaning: "The upstream's answer ended early."},
	NoAnswer:        {Meaning: "The connection ended without an answer."},
	AnswerTooLong:   {Meaning: "The upstream sent more bytes than an answer, its head or one event may have."},
	UpstreamLeaving: {Meaning: "The upstream is leaving."},
	Hedge:           {Meaning: "An urgent idempotent request had no answer yet."},
}

// Describe returns the description of a reason, and false for a value that is
// not in the enumeration.
func Describe(r Reason) (Description, bool) {
	d, ok := descriptions[r]
	return d, ok
}
