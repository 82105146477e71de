// Package answer decides what may be done with an upstream's answer, given what the
// caller already has. It does no I/O.
package answer

import "net/http"

// Head is what the status and headers of an answer say about it.
type Head struct {
	Status int
	// NotRun is set if the upstream states that it has not run the request.
	NotRun bool
	// Sealed is set if the answer has the seal by which callers can tell that it is the
	// upstream's own, and Encoded if its body is content-encoded. The seal is for the body
	// without an encoding.
	Sealed, Encoded bool
	// EventStream is set if the body is a stream of server-sent events.
	EventStream bool
}

// Given is what the caller has of an answer to its request. The zero value means nothing.
type Given struct {
	// Status is the status that the caller has got, or 0.
	Status int
}

// Use is what is done with an answer.
type Use int

const (
	// Decline: the upstream has not run the request. Another one may.
	Decline Use = iota
	// Deliver: the answer is read to its end and then sent to the caller.
	Deliver
	// Stream: events are sent to the caller as they arrive, after those that it has.
	Stream
	// Relay: the answer is sent to the caller as it arrives. It can't be replaced by that of
	// another upstream if it breaks off.
	Relay
	// Keep: the upstream has failed the request. The answer is sent to the caller if no
	// other upstream gives a better one.
	Keep
	// Fail: the upstream has failed the request, and its answer must not reach the caller.
	Fail
	// Reject: the answer is not a proper one, or does not go on with what the caller has.
	Reject
)

// Decide returns what is done with an answer. A caller that has got the head of an answer
// gets nothing more than events under the same status: it would take anything else for the
// end of the stream.
func Decide(h Head, g Given) Use {
	isSuccess := h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
	switch {
	case h.NotRun:
		return Decline
	case promisesNotRun(h.Status):
		return Fail
	case KindOf(h.Status) != FinalStatus:
		return Reject
	case isSuccess && (!h.Sealed || h.Encoded):
		return Reject
	case g.Status != 0:
		return continuation(h, g)
	case isSuccess && h.EventStream:
		return Stream
	case h.Status >= http.StatusInternalServerError:
		return Keep
	}
	return Deliver
}

// continuation returns what is done with an answer if the caller has the head of an
// earlier one.
func continuation(h Head, g Given) Use {
	switch {
	case h.Status >= http.StatusMultipleChoices:
		return Fail
	case h.EventStream && h.Status == g.Status:
		return Stream
	}
	return Reject
}

// DecideLong returns what is done with an answer that Decide wants to be read to its end and
// that is longer than what may be buffered. Without a seal nothing shows that its bytes are
// an answer at all. goesOn is set if the request is certain to be sent to another upstream.
func DecideLong(h Head, use Use, goesOn bool) Use {
	switch {
	case use == Keep && (goesOn || !h.Sealed):
		return Fail
	case !h.Sealed:
		return Reject
	}
	return Relay
}

// promisesNotRun reports whether a status tells callers that the request has not run. An
// upstream's answer with such a status that does not state so is not relayed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
