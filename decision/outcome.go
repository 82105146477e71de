package decision

import (
	"time"

	"jaylink/decision/admission"
	"jaylink/decision/reason"
)

const (
	// drainRetryAfter is the Retry-After of an entry that is stopping. The load
	// balancer sends the repeated request to another entry.
	drainRetryAfter = time.Second
	// unavailableRetryAfter is the Retry-After if something that the request
	// needs can't be reached.
	unavailableRetryAfter = 5 * time.Second
)

// countsAsUpstreamFailure reports whether an outcome counts as a failure of the
// upstream in the routing table.
func countsAsUpstreamFailure(o Outcome) bool {
	switch o {
	case OutcomeConnectFailed, OutcomeServerError, OutcomeBroken, OutcomeNoAnswer, OutcomeInvalidStatus:
		return true
	}
	return false
}

// retryReason maps the outcome of a failed attempt to the reason for the retry.
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
	case OutcomeInvalidStatus:
		return reason.InvalidStatus
	}
	return reason.UpstreamError
}

// refusalRetryAfter returns the Retry-After for a refused request. It is zero
// if repeating the same request can't help.
func refusalRetryAfter(why reason.Reason, r *admission.Request) time.Duration {
	switch why {
	case reason.BadRequest, reason.KeyReused, reason.OutcomeUnknown, reason.OutcomeNotKept, reason.Poison, reason.AnswerTooLarge:
		return 0
	case reason.ClaimUnavailable:
		return unavailableRetryAfter
	}
	return r.DrainTime()
}
