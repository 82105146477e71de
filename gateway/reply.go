package gateway

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"time"

	"jaylink/decision/answer"
	"jaylink/platform"
)

// errReplyBegun means that the caller has the head of an answer, so that no other one can be
// sent.
var errReplyBegun = errors.New("the caller has the head of another answer")

// reply is what a caller gets for one request: either a whole answer, or one head and then
// a body as it arrives. All that is written to the caller passes through it.
type reply struct {
	w http.ResponseWriter
	// status is the status that has been sent, or 0.
	status int
	// conn is the connection of a caller that takes no chunks; nil for others. The end of a body
	// without a length shows there as that of the connection alone.
	conn *callerConn
}

func newReply(w http.ResponseWriter, hr *http.Request) reply {
	p := reply{w: w}
	if !hr.ProtoAtLeast(1, 1) {
		p.conn, _ = hr.Context().Value(callerConnKey{}).(*callerConn)
	}
	return p
}

// begun reports whether the caller has the head of an answer.
func (p *reply) begun() bool { return p.status != 0 }

// given returns what the caller has.
func (p *reply) given() answer.Given { return answer.Given{Status: p.status} }

// begin sends the status and headers of an answer whose body follows as it arrives. It
// does nothing if that has been done: a resumed stream goes on under its first head.
func (p *reply) begin(status int, header http.Header) {
	if p.begun() {
		return
	}
	p.status = status
	maps.Copy(p.w.Header(), header)
	if p.conn != nil {
		p.conn.resetOnClose(true)
	}
	p.w.WriteHeader(status)
}

// end marks an answer as complete whose body was sent as it arrived.
func (p *reply) end() {
	if p.conn != nil {
		p.conn.resetOnClose(false)
	}
}

// Write sends a part of the body after begin.
func (p *reply) Write(data []byte) (int, error) {
	n, err := p.w.Write(data)
	return n, callerFailure(err)
}

// flush sends what has been written to the caller.
func (p *reply) flush() error { return callerFailure(http.NewResponseController(p.w).Flush()) }

// callerError is the error of a write to a caller, as opposed to a read from an upstream.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.err }

// callerFailure returns the error of a write to a caller as a callerError.
func callerFailure(err error) error {
	if err == nil {
		return nil
	}
	return &callerError{err}
}

// whole sends a complete answer.
func (p *reply) whole(status int, header http.Header, body []byte) error {
	if p.begun() {
		return errReplyBegun
	}
	p.status = status
	maps.Copy(p.w.Header(), header)
	p.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	_, err := p.Write(body)
	return err
}

// problem sends an answer that this entry itself generates.
func (p *reply) problem(requestID string, status int, retryAfter time.Duration, problem string) error {
	if p.begun() {
		return errReplyBegun
	}
	p.status = status
	platform.Refuse(p.w, requestID, status, retryAfter, problem)
	return nil
}
