package decision

import (
	"time"

	"jaylink/api"
	"jaylink/decision/poison"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
	"jaylink/decision/route"
)

// Event is something that happened. The driver passes events to Core.Step.
type Event interface{ event() }

// ConfigEvent says that another configuration is in force.
type ConfigEvent struct {
	Catalog *api.Catalog
	// Leaving names the upstreams that are known to be leaving, so that one
	// that is new here gets no work.
	Leaving []string
}

// EntriesEvent says how many entries are live, this one included.
type EntriesEvent struct{ Live int }

// UsageEvent carries another entry's accepted requests by customer. It replaces
// what that entry reported before; nil counts say that nothing is known of it any more.
type UsageEvent struct {
	Peer     string
	InFlight map[string]int
}

// RequestEvent says that a caller sent a request.
type RequestEvent struct {
	ID     string
	Labels api.Labels
	// Key is the caller's Idempotency-Key, or "".
	Key string
	// NoCompletion says that the request is not in the completions form.
	NoCompletion bool
	// Prefix is a hash of the start of the prompt, or 0.
	Prefix uint64
	// Fingerprint is a hash of service, path and body; it finds requests
	// that crash upstreams.
	Fingerprint uint64
}

// ClaimResult is what became of a claim.
type ClaimResult string

// The results of a claim.
const (
	// ClaimWon means that this request, and no other, may be dispatched.
	ClaimWon ClaimResult = "won"
	// ClaimDone means that the key has a recorded outcome, which the driver
	// gives to the caller.
	ClaimDone ClaimResult = "done"
	// ClaimHeld means that another request holds the key and has no outcome.
	ClaimHeld ClaimResult = "held"
	// ClaimLost means that a request took the key and will never record an
	// outcome.
	ClaimLost ClaimResult = "lost"
	// ClaimUnkept means that the key's work ran and its answer was too large
	// to keep.
	ClaimUnkept ClaimResult = "unkept"
	// ClaimMismatch means that the key was used with a different body.
	ClaimMismatch ClaimResult = "mismatch"
	// ClaimFailed means that the platform could not be asked, and it is
	// certain that nothing was claimed that could run.
	ClaimFailed ClaimResult = "failed"
)

// ClaimResults lists every result.
var ClaimResults = []ClaimResult{
	ClaimWon, ClaimDone, ClaimHeld, ClaimLost, ClaimUnkept, ClaimMismatch, ClaimFailed,
}

// ClaimEvent answers a ClaimAction.
type ClaimEvent struct {
	ID     string
	Result ClaimResult
}

// Outcome says how an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	OutcomeDone          Outcome = "done"
	OutcomeConnectFailed Outcome = "connect_failed"
	OutcomeBusy          Outcome = "busy"
	OutcomeServerError   Outcome = "server_error"
	OutcomeBroken        Outcome = "broken"
	OutcomeNoAnswer      Outcome = "no_answer"
	OutcomeCanceled      Outcome = "canceled"
	OutcomeTooLarge      Outcome = "too_large"
	// OutcomeRejected means that the upstream found the request itself wrong;
	// every other upstream would.
	OutcomeRejected Outcome = "rejected"
)

// AttemptEvent answers a DispatchAction once the attempt has ended.
type AttemptEvent struct {
	ID       string
	Attempt  int
	Upstream string
	Outcome  Outcome
	// Ran is what this attempt proves on its own.
	Ran reason.Ran
	// Crashed says that the upstream crashed while it ran the attempt.
	Crashed bool
	// BrokeAt is when the attempt's connection broke. All attempts on an
	// upstream that crashes break at the same moment, however long it takes
	// to find out why.
	BrokeAt time.Time
	// Relayed is the size of the answer so far in bytes.
	Relayed int
	// Resumable says that the answer can be continued on another upstream.
	Resumable bool
	// Jitter is a random number in [0, 1).
	Jitter float64
}

// CrashEvent carries an upstream crash that another entry saw.
type CrashEvent struct{ Crash poison.Crash }

// LoadEvent carries an upstream's own report.
type LoadEvent struct {
	Upstream string
	Load     route.Load
}

// CacheEvent carries what an upstream says about its prefix memory.
type CacheEvent struct {
	Upstream string
	Report   route.CacheReport
}

// LeavingEvent says that an upstream is leaving, or that it is back.
type LeavingEvent struct {
	Upstream string
	Leaving  bool
}

// DrainEvent says that the entry is stopping and accepts nothing new.
type DrainEvent struct{}

// TickEvent says that time has passed.
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

// Action is something that the driver must do.
type Action interface{ action() }

// AcceptAction says that the request was accepted; it comes before any other
// action for the request but a refusal.
type AcceptAction struct {
	ID         string
	Resolution api.Resolution
	Deadline   time.Time
}

// ClaimAction asks the driver to claim the request's key before it is run.
type ClaimAction struct{ ID string }

// DispatchAction asks the driver to send the request to an upstream.
type DispatchAction struct {
	ID       string
	Attempt  int
	Upstream string
	Spec     *api.UpstreamSpec
	// Retry is the reason for the attempt; "" for the first.
	Retry reason.Reason
	// Limits bound the attempt. One that passes them ends with OutcomeNoAnswer.
	Limits retry.Limits
}

// CancelAction asks the driver to end the running attempt of a request.
type CancelAction struct{ ID string }

// CrashAction asks the driver to tell the other entries about a crash.
type CrashAction struct{ Crash poison.Crash }

// FinishAction says that the answer is complete.
type FinishAction struct{ ID string }

// ReplayAction asks the driver to give the caller the recorded outcome.
type ReplayAction struct{ ID string }

// RefuseAction gives the request its final answer: it is not, or no longer, run.
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
