package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"jaylink/decision/answer"
	"jaylink/upstream/exchange"
)

// maxInterimBytes limits the headers of the interim responses before a response.
const maxInterimBytes = 64 << 10

// statusLineBytes is the least length of the status line of an interim response and of the blank
// line after it, in bytes.
const statusLineBytes = len("HTTP/1.1 100\r\n\r\n")

// checkedTransport returns an error for responses with a status that no response has, and closes
// their connections. Go's transport takes any three digits for a status and keeps the connection.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conns judgedConns
	defer conns.release()
	interim := interimLimit(0)
	trace := &httptrace.ClientTrace{GotConn: conns.gotConn, Got1xxResponse: interim.check}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil || answer.KindOf(resp.StatusCode) == answer.FinalStatus {
		return resp, err
	}
	// The connection is closed, so the error of Close does not matter.
	_ = resp.Body.Close()
	conns.close(req.Context())
	return nil, fmt.Errorf("%w: %03d", exchange.ErrInvalidStatus, resp.StatusCode)
}

// interimLimit counts the bytes of the headers of interim responses.
type interimLimit int

// check is the Got1xxResponse hook of an httptrace.ClientTrace.
func (n *interimLimit) check(code int, header textproto.MIMEHeader) error {
	if answer.StatesBody(http.Header(header)) {
		return fmt.Errorf("%w: %03d with a body", exchange.ErrInvalidStatus, code)
	}
	size := statusLineBytes
	for name, values := range header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	if *n += interimLimit(size); *n > maxInterimBytes {
		return fmt.Errorf("interim responses: %w", exchange.ErrTooLong)
	}
	return nil
}

// judgedConns are the connections of one call. The transport may have one ready for the next call
// before the status of the response was checked, and that call waits for the check.
type judgedConns struct {
	mu    sync.Mutex
	conns []*countedConn
}

// gotConn is the GotConn hook of an httptrace.ClientTrace.
func (j *judgedConns) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	conn.judging.Lock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.conns = append(j.conns, conn)
}

// close closes the connections, so that nothing more is sent on them, and waits until the transport
// has noticed.
func (j *judgedConns) close(ctx context.Context) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.conns {
		c.disableWrites(0)
		// The connection is not used again, so the error of Close does not matter.
		_ = c.Conn.Close()
		select {
		case <-c.dropped:
		case <-ctx.Done():
		}
	}
}

// release lets the next calls use the connections.
func (j *judgedConns) release() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, c := range j.conns {
		c.judging.Unlock()
	}
	j.conns = nil
}
