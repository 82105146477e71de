package answer

import (
	"fmt"

	"jaylink/serving"
)

// Process is what is known, after the end of an answer, about the process that wrote it.
type Process int

const (
	// Unknown: nothing tells whether the process still runs.
	Unknown Process = iota
	// Running: the process has said after the end that it runs.
	Running
	// Gone: nothing listens at its address, or another process does.
	Gone
)

// String returns the name that logs have for it.
func (p Process) String() string {
	switch p {
	case Running:
		return "running"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// String describes what an inquiry has found out, and by what, for logs.
func (i Inquiry) String() string {
	switch {
	case i.Process == Unknown:
		return i.Process.String()
	case i.Refused:
		return i.Process.String() + " by refusal"
	case i.Certain:
		return i.Process.String() + " by start time"
	case i.Kept:
		return i.Process.String() + " by connection"
	}
	return i.Process.String() + " by ID"
}

// ShowsEarlier reports whether the state that was found out is also the one at ends of answers before
// the inquiry began. An ID may have passed to another process meanwhile.
func (i Inquiry) ShowsEarlier() bool {
	return i.Process == Gone || i.Process == Running && (i.Certain || i.Kept)
}

// Statement is the result of a call to an upstream's address for what listens there, which was
// sent after the end of an answer. The zero value is a call without a reply.
type Statement struct {
	// Refused is set if the connection was refused: nothing listens there.
	Refused bool
	// Answered is set if there was a reply.
	Answered bool
	// ID is the upstream's ID, "" if not stated.
	ID string
	// StartMillis is the start time of the process in Unix milliseconds, 0 if not stated.
	StartMillis int64
	// TurnedAway is set if the reply states that the call has not run, and names no request: the
	// upstream is full.
	TurnedAway bool
	// NamesRequest is set if the reply names a request, which the call does not.
	NamesRequest bool
	// Kept is set if the connection of the call was opened before the request was sent. The kernel
	// closes the connections of a process that ends, so that the process behind it is the same.
	Kept bool
}

// isOwn reports whether a reply is that of an upstream, as opposed to something in front of it.
func (s Statement) isOwn() bool { return s.ID != "" || s.StartMillis != 0 || s.TurnedAway }

// Inquiry collects statements until they tell whether the process that an upstream was still
// runs. The zero value has none.
type Inquiry struct {
	Process Process
	// Refused is set if Process is Gone because nothing listens, and Certain if a start time has
	// told it.
	Refused, Certain bool
	// Kept is set if a connection that is older than the request has shown that Process is Running.
	// It says nothing about requests that were sent before it was opened.
	Kept bool
	// interrupted is set once a call had no reply. The process may have been replaced then
	// by one with the same ID.
	interrupted bool
}

// Add takes the next statement into account. An ID can be used again by a later process, a start
// time and a connection can't.
func (i *Inquiry) Add(u serving.Upstream, s Statement) {
	if s.Kept && s.NamesRequest {
		// The late answer to an earlier request may have been written at any time.
		return
	}
	i.interrupted = i.interrupted || !s.Answered
	startsKnown := u.StartMillis != 0 && s.StartMillis != 0
	switch {
	case i.Process != Unknown:
	case s.Refused, s.ID != "" && s.ID != u.ID, startsKnown && s.StartMillis != u.StartMillis:
		i.Process, i.Refused, i.Certain = Gone, s.Refused, startsKnown
	case startsKnown, s.Kept && s.isOwn(), s.ID != "" && !i.interrupted:
		i.Process, i.Certain, i.Kept = Running, startsKnown, s.Kept
	}
}

// End is the evidence about the end of an answer's body.
type End struct {
	// Delimited is set if a length or chunks show that the body is whole. Otherwise it ends
	// with its connection.
	Delimited bool
	// RequestWritten is set if the request was written completely and without an error. The
	// kernel reports a reset once: after a write has got its error, a read finds a proper end.
	RequestWritten bool
	// Process is the state of the process that wrote the answer.
	Process Process
}

// Whole reports whether an answer is complete. The kernel closes the connections of a process
// that dies, so one that ends with its connection is only if its process has outlived the end.
func (e End) Whole() bool {
	return e.Delimited || e.RequestWritten && e.Process == Running
}

// NeedsProcess reports whether the process decides if the answer is complete.
func (e End) NeedsProcess() bool { return !e.Delimited && e.RequestWritten }

// String describes the evidence for logs.
func (e End) String() string {
	return fmt.Sprintf("delimited %t, request written %t, upstream %s", e.Delimited, e.RequestWritten, e.Process)
}
