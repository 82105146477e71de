package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jaylink/decision"
	"jaylink/decision/reason"
)

// HeaderRequestID is the response header that carries the request ID.
const HeaderRequestID = "Jaylink-Request-Id"

// statusOf maps each refusal reason to its HTTP status.
var statusOf = map[reason.Reason]int{
	reason.BadRequest:       http.StatusBadRequest,
	reason.BodyTooLarge:     http.StatusRequestEntityTooLarge,
	reason.BodyTooSlow:      http.StatusRequestTimeout,
	reason.MemoryFull:       http.StatusServiceUnavailable,
	reason.HeaderTooLarge:   http.StatusRequestHeaderFieldsTooLarge,
	reason.WrongMethod:      http.StatusMethodNotAllowed,
	reason.UnknownService:   http.StatusNotFound,
	reason.UnknownCustomer:  http.StatusForbidden,
	reason.UnknownRequest:   http.StatusNotFound,
	reason.WrongCustomer:    http.StatusForbidden,
	reason.Draining:         http.StatusServiceUnavailable,
	reason.NotReady:         http.StatusServiceUnavailable,
	reason.CustomerLimit:    http.StatusTooManyRequests,
	reason.QueueFull:        http.StatusTooManyRequests,
	reason.NoUpstream:       http.StatusServiceUnavailable,
	reason.UpstreamsPaused:  http.StatusServiceUnavailable,
	reason.UpstreamsLimited: http.StatusServiceUnavailable,
	reason.TimedOut:         http.StatusGatewayTimeout,
	reason.AttemptsUsedUp:   http.StatusBadGateway,
	reason.NotRepeatable:    http.StatusBadGateway,
	reason.RetryBudget:      http.StatusServiceUnavailable,
	reason.KeyReused:        http.StatusUnprocessableEntity,
	reason.KeyInProgress:    http.StatusConflict,
	reason.ClaimUnavailable: http.StatusServiceUnavailable,
	reason.OutcomeUnknown:   http.StatusConflict,
	reason.OutcomeNotKept:   http.StatusConflict,
	reason.Poison:           http.StatusUnprocessableEntity,
	reason.PoisonPart:       http.StatusUnprocessableEntity,
	reason.AnswerTooLarge:   http.StatusBadGateway,
	reason.OwnerUnreachable: http.StatusServiceUnavailable,
	reason.Internal:         http.StatusServiceUnavailable,
	reason.DeadlineUnmet:    http.StatusServiceUnavailable,
}

// newProblem returns the response body for a refusal decided by the core.
func newProblem(a decision.RefuseAction) *Problem {
	p := problemOf(a.Reason, "")
	p.Ran = a.Ran
	p.RetryAfter = a.RetryAfter
	return p
}

// problemOf returns the response body for a refusal of a request that did not
// run.
func problemOf(code reason.Reason, detail string) *Problem {
	return &Problem{
		Type:   "about:blank",
		Title:  strings.ReplaceAll(string(code), "_", " "),
		Status: statusOf[code],
		Detail: detail,
		Reason: code,
		Ran:    reason.RanNo,
	}
}

// write sends the problem as an HTTP response.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		seconds := int(math.Ceil(p.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status)
	// The status line has been sent; only the caller notices a failed
	// write.
	_ = json.NewEncoder(w).Encode(p)
}

// outageRetryAfter is the Retry-After delay of operator requests that were
// refused because the platform could not be reached.
const outageRetryAfter = 2 * time.Second
