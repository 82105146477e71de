package decision

import (
	"time"

	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

const (
	// drainRetryAfter is how long a caller of a stopping entry waits; the
	// balancer sends it to another entry.
	drainRetryAfter = time.Second
	// unavailableRetryAfter is how long a caller waits when something that
	// the request needs can't be reached.
	unavailableRetryAfter = 5 * time.Second
)

// blamesUpstream reports whether an outcome makes the upstream suspect.
func blamesUpstream(o Outcome) bool {
	switch o {
	case OutcomeConnectFailed, OutcomeServerError, OutcomeBroken, OutcomeNoAnswer:
		return true
	}
	return false
}

// retryReason maps a failed outcome to the reason for repeating it.
func retryReason(o Outcome) reason.Reason {
	switch o {
	case OutcomeConnectFailed:
		return reason.ConnectFailed
	case OutcomeBusy:
		return reason.UpstreamBusy
	case OutcomeBroken:
		return reason.StreamBroken
	case OutcomeNoAnswer:
		return reason.NoAnswer
	}
	return reason.UpstreamError
}

// admissionDelay returns when the caller of a refused request may come back.
// It is zero where sending the same request again can't help.
func admissionDelay(why reason.Reason, r *admission.Request) time.Duration {
	switch why {
	case reason.BadRequest, reason.KeyReused, reason.OutcomeUnknown, reason.OutcomeNotKept, reason.Poison, reason.AnswerTooLarge:
		return 0
	case reason.ClaimUnavailable:
		return unavailableRetryAfter
	}
	return r.DrainTime()
}
