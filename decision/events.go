package decision

import (
	"time"

	"jaylink/api"
	"jaylink/decision/poison"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
	"jaylink/decision/route"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// ConfigEvent reports that a new configuration is in effect.
type ConfigEvent struct {
	Catalog *api.Catalog
	// Leaving names the upstreams that are known to be leaving, so that an
	// upstream that is new in this configuration gets no requests if it is one
	// of them.
	Leaving []string
}

// EntriesEvent reports the number of live entries, including this one.
type EntriesEvent struct{ Live int }

// UsageEvent reports how many accepted requests another entry has in flight for
// each customer. It replaces the previous report of that entry; nil counts mean
// that the entry's usage is no longer known.
type UsageEvent struct {
	Peer     string
	InFlight map[string]int
}

// RequestEvent reports a new request from a caller.
type RequestEvent struct {
	ID     string
	Labels api.Labels
	// Key is the caller's Idempotency-Key, or "".
	Key string
	// NoCompletion is set if the request is not in the format of the
	// completions API.
	NoCompletion bool
	// Prefix is a hash of the start of the prompt, or 0.
	Prefix uint64
	// Fingerprint is a hash of service, path and body. It identifies requests
	// that crash upstreams.
	Fingerprint uint64
}

// ClaimResult is the result of claiming an idempotency key.
type ClaimResult string

// Results of a claim.
const (
	// ClaimWon means that this request, and no other, may be dispatched.
	ClaimWon ClaimResult = "won"
	// ClaimDone means that the key has a recorded outcome. The driver returns
	// it to the caller.
	ClaimDone ClaimResult = "done"
	// ClaimHeld means that another request holds the key and has no outcome
	// yet.
	ClaimHeld ClaimResult = "held"
	// ClaimLost means that another request held the key and will never record
	// an outcome.
	ClaimLost ClaimResult = "lost"
	// ClaimTooLarge means that the request with this key ran, but its answer was
	// too large to store.
	ClaimTooLarge ClaimResult = "unkept"
	// ClaimMismatch means that the key was used with a different request.
	ClaimMismatch ClaimResult = "mismatch"
	// ClaimFailed means that the platform could not be reached, and that no
	// claim remains under which the request could run.
	ClaimFailed ClaimResult = "failed"
)

// ClaimResults lists all results.
var ClaimResults = []ClaimResult{
	ClaimWon, ClaimDone, ClaimHeld, ClaimLost, ClaimTooLarge, ClaimMismatch, ClaimFailed,
}

// ClaimEvent is the response to a ClaimAction.
type ClaimEvent struct {
	ID     string
	Result ClaimResult
}

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeDone          Outcome = "done"
	OutcomeConnectFailed Outcome = "connect_failed"
	OutcomeBusy          Outcome = "busy"
	OutcomeServerError   Outcome = "server_error"
	OutcomeBroken        Outcome = "broken"
	OutcomeNoAnswer      Outcome = "no_answer"
	OutcomeCanceled      Outcome = "canceled"
	OutcomeTooLarge      Outcome = "too_large"
	// OutcomeInvalidStatus means that the upstream answered with a status that no response has.
	OutcomeInvalidStatus Outcome = "invalid_status"
	// OutcomeRejected means that the upstream found the request invalid. Any
	// other upstream would do the same.
	OutcomeRejected Outcome = "rejected"
)

// AttemptEvent reports the end of the attempt that a DispatchAction started.
type AttemptEvent struct {
	ID       string
	Attempt  int
	Upstream string
	Outcome  Outcome
	// Ran is what this attempt alone proves about whether the request ran.
	Ran reason.Ran
	// Crashed is set if the upstream crashed during the attempt.
	Crashed bool
	// BrokeAt is when the attempt's connection broke. All attempts on an
	// upstream that crashes break at the same moment, even if it takes longer
	// for some of them to detect the crash.
	BrokeAt time.Time
	// Relayed is the number of bytes of the answer sent to the caller so far.
	Relayed int
	// Resumable is set if another upstream can continue the answer.
	Resumable bool
	// Jitter is a random number in [0, 1).
	Jitter float64
}

// CrashEvent reports an upstream crash that another entry observed.
type CrashEvent struct{ Crash poison.Crash }

// LoadEvent carries a load report of an upstream.
type LoadEvent struct {
	Upstream string
	Load     route.Load
}

// CacheEvent carries a report of an upstream about the contents of its prefix
// cache.
type CacheEvent struct {
	Upstream string
	Report   route.CacheReport
}

// LeavingEvent reports that an upstream is about to leave, or no longer is.
type LeavingEvent struct {
	Upstream string
	Leaving  bool
}

// DrainEvent reports that the entry is about to stop and accepts no new
// requests.
type DrainEvent struct{}

// TickEvent lets the core process timers that have expired.
type TickEvent struct{}

func (ConfigEvent) event()  {}
func (EntriesEvent) event() {}
func (UsageEvent) event()   {}
func (RequestEvent) event() {}
func (ClaimEvent) event()   {}
func (AttemptEvent) event() {}
func (CrashEvent) event()   {}
func (LoadEvent) event()    {}
func (CacheEvent) event()   {}
func (LeavingEvent) event() {}
func (DrainEvent) event()   {}
func (TickEvent) event()    {}

// Action is an instruction to the driver.
type Action interface{ action() }

// AcceptAction reports that the request was accepted. It precedes all other
// actions for the request, except a RefuseAction that denies admission.
type AcceptAction struct {
	ID         string
	Resolution api.Resolution
	Deadline   time.Time
}

// ClaimAction asks the driver to claim the request's idempotency key.
type ClaimAction struct{ ID string }

// DispatchAction asks the driver to send the request to an upstream.
type DispatchAction struct {
	ID       string
	Attempt  int
	Upstream string
	Spec     *api.UpstreamSpec
	// Retry is the reason for the retry; "" for the first attempt.
	Retry reason.Reason
	// Limits bound the attempt. An attempt that exceeds them ends with
	// OutcomeNoAnswer.
	Limits retry.Limits
}

// CancelAction asks the driver to end the running attempt of a request.
type CancelAction struct{ ID string }

// CrashAction asks the driver to report a crash to the other entries.
type CrashAction struct{ Crash poison.Crash }

// FinishAction reports that the answer is complete.
type FinishAction struct{ ID string }

// ReplayAction asks the driver to return the recorded outcome to the caller.
type ReplayAction struct{ ID string }

// RefuseAction gives the caller the final answer that the request was refused,
// or was given up.
type RefuseAction struct {
	ID         string
	Reason     reason.Reason
	Ran        reason.Ran
	RetryAfter time.Duration
}

func (AcceptAction) action()   {}
func (ClaimAction) action()    {}
func (DispatchAction) action() {}
func (CancelAction) action()   {}
func (CrashAction) action()    {}
func (FinishAction) action()   {}
func (ReplayAction) action()   {}
func (RefuseAction) action()   {}
