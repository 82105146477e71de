package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"jaylink/decision/answer"
	"jaylink/decision/notrun"
)

// Request is one HTTP request as it is sent.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes Do send a Content-Length even if Body is empty.
	HasBody bool
	// ID is the ID that upstreams echo in their responses; "" if they don't. The request is
	// not sent on a connection that has carried one with the same ID: a late or repeated
	// response to that one could not be told from the response to this one.
	ID string
	// NewConnection has the request sent on a connection that has carried no other, so that no
	// response to an earlier request can come.
	NewConnection bool
	// NamedRefusals has refusals believed only if they name the request. Any other may have been
	// written before the upstream has read it.
	NamedRefusals bool
	// CheckHead inspects the status and header of a response. If it is nil, every
	// response counts as that of the request.
	CheckHead func(status int, header http.Header) HeadCheck
	// MaxIdle is the maximum time for which a reused connection may have been
	// idle; 0 means no limit. The upstream may have closed a connection that was
	// idle for long, and it is then unknown whether it read the request.
	MaxIdle time.Duration
	// HeadTimeout is the timeout for the status and header of the response; 0
	// means no timeout.
	HeadTimeout time.Duration
	// OnSilence, if set, is asked at the head timeout whether to wait longer.
	OnSilence Silence
}

// Silence is asked when an upstream has sent nothing by a deadline. It returns how much longer
// to wait, or 0 if the exchange is given up. It is called by the goroutine that reads.
type Silence func() time.Duration

// HeadCheck is the result of Request.CheckHead.
type HeadCheck struct {
	// Matches is true if the response belongs to the request. Other responses are
	// skipped.
	Matches bool
	// NotRun is true if the response states that the request was not run, and Anonymous if
	// it does not name the request to which it belongs.
	NotRun, Anonymous bool
	// KeepAlive is how long the upstream keeps an idle connection open, or 0 if
	// not stated.
	KeepAlive time.Duration
}

// ErrAmbiguous means that a response which names no request states that the request was not
// run, on a connection that has carried other requests or responses, or in response to one with
// NamedRefusals. It may belong to another request or to none.
var ErrAmbiguous = errors.New("refusal that may belong to another request")

// ErrUnsolicited means that a new connection was closed, or that something had arrived on it,
// before the request was sent.
var ErrUnsolicited = errors.New("connection closed or written to before the request")

// ErrTooLong means that a response exceeds a size limit.
var ErrTooLong = errors.New("response too long")

// ErrInvalidStatus means that the upstream has sent a head with a status that no response has, or
// an interim one that states a body. Nothing after it can be told from that body.
var ErrInvalidStatus = errors.New("invalid status of a response")

// Error is the error of a failed exchange.
type Error struct {
	// Step is "connect", "write", "read_head" or "read_body".
	Step string
	// Sent is true if a part of the request was written. The upstream may have run it: it
	// need not wait for the end of the body.
	Sent bool
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// inlineWriteSize is the size in bytes up to which a request is written completely
// before the response is read. A larger request is written concurrently, because
// the upstream may respond before it has read all of it.
const inlineWriteSize = 4096

// Limits on the responses to other requests that are skipped: their number and the
// size of each body.
const (
	maxSkippedResponses = 3
	maxSkippedBody      = 1 << 20
)

// maxHeadBytes limits the size of the status line and header of a response, including
// preceding 1xx responses and bytes that the buffer reads ahead. The 10 MB that
// net/http's client accepts would be too much for a process with hundreds of
// streams.
const maxHeadBytes = 64 << 10

// Answer is the response of an upstream. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Delimited reports whether the end of the body can be told from a broken connection.
	// If not, the body ends with its connection.
	Delimited bool
	// NotRun is the proof that the request was not run, if the response is one.
	NotRun notrun.Proof

	pool      *Pool
	address   string
	conn      *conn
	body      io.ReadCloser
	keepAlive time.Duration
	reusable  bool // the response allows reuse of the connection
	write     *requestWrite
	complete  bool        // the body was read to its end
	stop      func() bool // stops closing the connection when the context ends
}

// Do sends a request and returns its response, whose body is still to be read. When
// ctx ends, the connection is closed, which also interrupts reads of the body.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Answer, error) {
	c, err := p.acquire(ctx, address, req)
	if err != nil {
		return nil, &Error{Step: "connect", Err: err}
	}
	return p.doOn(ctx, c, address, req)
}

// doOn is Do on a connection that was acquired.
func (p *Pool) doOn(ctx context.Context, c *conn, address string, req *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.abort)
	a, err := p.send(c, address, req)
	if err != nil {
		stop()
		c.abort()
		p.discard(address, c)
		return nil, err
	}
	a.stop = stop
	return a, nil
}

// send writes the request and reads the status and header of its response.
func (p *Pool) send(c *conn, address string, req *Request) (*Answer, error) {
	head, err := encodeHead(req)
	if err != nil {
		return nil, &Error{Step: "write", Err: err}
	}
	isShort := len(head)+len(req.Body) <= inlineWriteSize
	if err := c.allowFullWindow(!isShort); err != nil {
		return nil, &Error{Step: "write", Err: err}
	}
	c.addID(req.ID)
	w := requestWrite{done: make(chan struct{})}
	if isShort {
		w.run(c, head, req.Body)
		if !w.complete.Load() {
			return nil, &Error{Step: "write", Sent: w.begun, Err: w.err}
		}
	} else {
		go w.run(c, head, req.Body)
	}
	if req.HeadTimeout > 0 {
		c.expect(time.Now().Add(req.HeadTimeout), req.OnSilence)
	}
	resp, verdict, strays, err := readHead(c, req)
	if err != nil {
		// Closing interrupts a write in progress. Whether a part of the request was
		// sent is known only afterwards.
		c.abort()
		<-w.done
		return nil, &Error{Step: "read_head", Sent: w.begun, Err: err}
	}
	c.expect(time.Time{}, nil)
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header, Delimited: Delimited(resp),
		pool: p, address: address, conn: c, body: resp.Body, write: &w,
		reusable: !resp.Close && strays == 0 && !verdict.Anonymous && !c.isWornOut(), keepAlive: verdict.KeepAlive,
	}
	if verdict.NotRun {
		a.NotRun = refusalProof(c, req, verdict, strays)
	}
	return a, nil
}

// requestWrite is the write of one request, which may run concurrently to the read
// of the response.
type requestWrite struct {
	complete atomic.Bool // the request was written completely
	// begun is true if a part of the request was written. It and err may be read once done
	// is closed.
	begun bool
	err   error
	done  chan struct{}
}

func (w *requestWrite) run(c *conn, head, body []byte) {
	defer close(w.done)
	var n int64
	parts := net.Buffers{head, body}
	n, w.err = parts.WriteTo(c.Conn)
	w.begun = n > 0
	w.complete.Store(w.err == nil)
}

// encodeHead returns the request line and headers in the HTTP/1.1 wire format.
func encodeHead(req *Request) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		return nil, err
	}
	if req.HasBody || len(req.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// readHead reads responses until one belongs to the request. It returns the number of
// skipped responses to other requests.
func readHead(c *conn, req *Request) (resp *http.Response, verdict HeadCheck, skipped int, err error) {
	defer c.unlimitReads()
	c.limitReads(maxHeadBytes)
	for skipped = 0; skipped <= maxSkippedResponses; {
		resp, err = http.ReadResponse(c.r, &http.Request{Method: req.Method})
		if err != nil && c.remaining <= 0 {
			// The rest of the last line looks malformed.
			err = ErrTooLong
		}
		if err != nil {
			return nil, verdict, skipped, err
		}
		switch answer.KindOf(resp.StatusCode) {
		case answer.InvalidStatus:
			return nil, verdict, skipped, fmt.Errorf("%w: %03d", ErrInvalidStatus, resp.StatusCode)
		case answer.InterimStatus:
			if len(resp.TransferEncoding) > 0 || answer.StatesBody(resp.Header) {
				return nil, verdict, skipped, fmt.Errorf("%w: %03d with a body", ErrInvalidStatus, resp.StatusCode)
			}
			continue
		}
		if req.CheckHead == nil {
			return resp, verdict, skipped, nil
		}
		verdict = req.CheckHead(resp.StatusCode, resp.Header)
		switch {
		case verdict.Matches && verdict.NotRun && refusalProof(c, req, verdict, skipped) == notrun.None:
			return nil, verdict, skipped, ErrAmbiguous
		case verdict.Matches:
			return resp, verdict, skipped, nil
		}
		skipped++
		c.limitReads(maxSkippedBody)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, verdict, skipped, err
		}
		c.limitReads(maxHeadBytes)
	}
	return nil, verdict, skipped, errors.New("received only responses to other requests")
}

// refusalProof returns what a refusal proves that came after a number of strays.
func refusalProof(c *conn, req *Request, verdict HeadCheck, strays int) notrun.Proof {
	return notrun.Refusal{Named: !verdict.Anonymous, NeedsName: req.NamedRefusals, Requests: len(c.ids), Strays: strays}.Proof()
}

// Delimited reports whether a response has a length or chunks, or no body at all, so that the end
// of its body can be told from a broken connection.
func Delimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || resp.Body == http.NoBody || slices.Contains(resp.TransferEncoding, "chunked")
}

// IsEventStream reports whether the body is a stream of server-sent events.
func (a *Answer) IsEventStream() bool {
	mediaType, _, _ := strings.Cut(a.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// SetReadDeadline sets the deadline of the next reads.
func (a *Answer) SetReadDeadline(t time.Time) { a.conn.expect(t, nil) }

// Expect sets the deadline of the next reads, after which onSilence is asked whether to wait
// longer.
func (a *Answer) Expect(deadline time.Time, onSilence Silence) { a.conn.expect(deadline, onSilence) }

// Read implements io.Reader for the body. It returns io.EOF only at the end of a
// complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// RequestWritten reports whether the request was written completely and without an error. It
// ends a write under way, and must not be called before the body was read to its end. If a reset
// is reported to the write, the body may have seemed to end properly.
func (a *Answer) RequestWritten() bool {
	// An error means that the connection is closed, which ends the write, too.
	_ = a.conn.SetWriteDeadline(time.Now())
	<-a.write.done
	_ = a.conn.SetWriteDeadline(time.Time{})
	return a.write.complete.Load()
}

// Close ends the exchange. The connection is returned to the pool if request and
// response were transferred completely and no unread data follows. Otherwise it is
// closed.
func (a *Answer) Close() {
	stopped := a.stop()
	if stopped && a.complete && a.reusable && a.write.complete.Load() && a.conn.r.Buffered() == 0 {
		a.SetReadDeadline(time.Time{})
		a.pool.release(a.address, a.conn, a.keepAlive)
		return
	}
	if !a.complete {
		a.conn.abort()
	}
	a.pool.discard(a.address, a.conn)
}
