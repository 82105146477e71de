package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// probeTimeout limits the probe of an upstream. probePause is the pause between two of
	// its connection attempts; more than one may be needed, because a process that is just
	// exiting resets new connections before it refuses them.
	probeTimeout = 250 * time.Millisecond
	probePause   = 20 * time.Millisecond
)

// ErrUnconfirmedEnd means that an answer with neither a length nor chunks, which ends with its
// connection, may be incomplete.
var ErrUnconfirmedEnd = errors.New("end of the answer is not confirmed")

// RefusesConnections reports whether an upstream refuses connections, as that of a process
// that has crashed does. A timeout proves nothing, as the network may be partitioned.
func RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var dialer net.Dialer
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", address)
		switch {
		case err == nil:
			// Nothing was sent on the connection, so an error on close does not matter.
			_ = c.Close()
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		select {
		case <-time.After(probePause):
		case <-ctx.Done():
		}
	}
	return false
}

// maxReply is the longest body of a reply to Ask, in bytes.
const maxReply = 64 << 10

// Reply is the whole response to a call of Ask.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Ask calls an upstream with GET and reads the whole response. The connection is a new one, so
// that the response can't be to another request.
func (p *Pool) Ask(ctx context.Context, address, target string) (Reply, error) {
	a, err := p.Do(ctx, address, stateCall(address, target))
	if err != nil {
		return Reply{}, err
	}
	return a.readReply()
}

// ErrNoneKept means that there is no idle connection to an upstream that was opened before a
// time, and ErrKeptClosed that all such connections have been closed, one of them right after its use.
var (
	ErrNoneKept   = errors.New("no idle connection was opened before")
	ErrKeptClosed = errors.New("all idle connections that were opened before have been closed")
)

// AskKept is Ask on an idle connection that was opened before a time. The kernel closes the
// connections of a process that ends, so that the process which replies has run since then.
func (p *Pool) AskKept(ctx context.Context, address, target string, opened time.Time) (Reply, error) {
	c, err := p.takeKept(address, opened)
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := withSteppedTimeout(ctx, keptCallTimeout)
	defer cancel()
	a, err := p.doOn(ctx, c, address, stateCall(address, target))
	if err != nil {
		return Reply{}, err
	}
	return a.readReply()
}

// stateCall returns the request of Ask.
func stateCall(address, target string) *Request {
	return &Request{
		Method: http.MethodGet, Target: target, Host: address, NewConnection: true,
		CheckHead: func(status int, _ http.Header) HeadCheck {
			// A refusal may come once more, and would then not tell to what it belongs.
			return HeadCheck{Matches: true, Anonymous: status != http.StatusOK}
		},
	}
}

// readReply reads the whole response to a call of Ask and closes it.
func (a *Answer) readReply() (Reply, error) {
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, maxReply+1))
	switch {
	case err != nil:
		return Reply{}, &Error{Step: "read_body", Sent: true, Err: err}
	case len(body) > maxReply:
		return Reply{}, &Error{Step: "read_body", Sent: true, Err: ErrTooLong}
	}
	return Reply{Status: a.Status, Header: a.Header, Body: body}, nil
}
