package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Request is one HTTP request as it goes out.
type Request struct {
	Method string
	// Target is the path and query, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that a length is sent even if Body is empty.
	HasBody bool
	// Judge reads the head of an answer; nil takes every answer as the request's.
	Judge func(status int, header http.Header) Verdict
	// MaxIdle is how long a connection may have been idle; 0 is no bound. An
	// upstream may have closed one that was idle for long, and whether a request
	// on it was read can't be known.
	MaxIdle time.Duration
	// HeadTimeout bounds the wait for the head of the answer; 0 is no bound.
	HeadTimeout time.Duration
}

// Verdict is what a caller makes of the head of an answer.
type Verdict struct {
	// Mine says that the answer belongs to the request; others are skipped.
	Mine bool
	// KeepAlive is how long the upstream keeps an idle connection; 0 if it does
	// not say.
	KeepAlive time.Duration
}

// ErrTooLong means that an upstream sent more than an answer may have.
var ErrTooLong = errors.New("answer too long")

// Error says how an exchange failed.
type Error struct {
	// Step is "connect", "write", "read_head" or "read_body".
	Step string
	// Sent says that the whole request was written, so that the upstream may
	// have run it.
	Sent bool
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// inlineBody is the request size in bytes up to which it is written before the
// answer is awaited; larger ones may be answered before they are read.
const inlineBody = 4096

// strayAnswers bounds the answers of other requests that are skipped, strayBytes
// the body of each.
const (
	strayAnswers = 3
	strayBytes   = 1 << 20
)

// headBytes bounds the head of an answer, with the interim answers before it and
// what is read ahead. The 10 MB that net/http's client takes are too much for an
// entry with hundreds of streams.
const headBytes = 256 << 10

// Answer is an upstream's answer. It must be closed.
type Answer struct {
	Status int
	Header http.Header

	pool      *Pool
	address   string
	conn      *conn
	body      io.ReadCloser
	keepAlive time.Duration
	reusable  bool
	writing   *writing
	whole     bool
	stop      func() bool
}

// Do sends a request and returns the head of its answer. When ctx ends, the
// connection is closed, which also ends reads of the answer.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Answer, error) {
	c, err := p.take(ctx, address, req.MaxIdle)
	if err != nil {
		return nil, &Error{Step: "connect", Err: err}
	}
	stop := context.AfterFunc(ctx, func() {
		// The reader notices the closed connection.
		_ = c.Close()
	})
	a, err := p.send(c, address, req)
	if err != nil {
		stop()
		p.drop(address, c)
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (p *Pool) send(c *conn, address string, req *Request) (*Answer, error) {
	data, err := encode(req)
	if err != nil {
		return nil, &Error{Step: "write", Err: err}
	}
	w := writing{done: make(chan struct{})}
	if len(data) <= inlineBody {
		w.run(c, data)
		if !w.whole.Load() {
			return nil, &Error{Step: "write", Err: w.err}
		}
	} else {
		go w.run(c, data)
	}
	if req.HeadTimeout > 0 {
		// An error means that the connection is closed, which reading tells.
		_ = c.SetReadDeadline(time.Now().Add(req.HeadTimeout))
	}
	resp, verdict, strays, err := readHead(c, req)
	if err != nil {
		// Closing ends a write that is under way; whether the request was sent
		// is known only then.
		_ = c.Close()
		<-w.done
		return nil, &Error{Step: "read_head", Sent: w.whole.Load(), Err: err}
	}
	_ = c.SetReadDeadline(time.Time{})
	a := &Answer{
		Status: resp.StatusCode, Header: resp.Header,
		pool: p, address: address, conn: c, body: resp.Body, writing: &w,
		reusable: !resp.Close && strays == 0, keepAlive: verdict.KeepAlive,
	}
	return a, nil
}

// writing is the writing of one request.
type writing struct {
	whole atomic.Bool
	// err may be read once done is closed.
	err  error
	done chan struct{}
}

func (w *writing) run(c *conn, data []byte) {
	defer close(w.done)
	_, w.err = c.Write(data)
	w.whole.Store(w.err == nil)
}

func encode(req *Request) ([]byte, error) {
	var b bytes.Buffer
	b.Grow(1024 + len(req.Body))
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&b); err != nil {
		return nil, err
	}
	if req.HasBody || len(req.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes(), nil
}

// readHead reads answers until one belongs to the request.
func readHead(c *conn, req *Request) (resp *http.Response, verdict Verdict, strays int, err error) {
	defer c.unbound()
	c.bound(headBytes)
	for strays = 0; strays <= strayAnswers; {
		resp, err = http.ReadResponse(c.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, verdict, strays, err
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if req.Judge == nil {
			return resp, verdict, strays, nil
		}
		if verdict = req.Judge(resp.StatusCode, resp.Header); verdict.Mine {
			return resp, verdict, strays, nil
		}
		strays++
		c.bound(strayBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, verdict, strays, err
		}
		c.bound(headBytes)
	}
	return nil, verdict, strays, errors.New("only answers of other requests")
}

// Streams reports whether the body is a series of events.
func (a *Answer) Streams() bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// SetReadDeadline bounds the next reads.
func (a *Answer) SetReadDeadline(t time.Time) {
	// An error means that the connection is closed, which the next read tells.
	_ = a.conn.SetReadDeadline(t)
}

// Read implements io.Reader for the body. It returns io.EOF only if the answer
// is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read whole
// and nothing else is on it; otherwise it is closed.
func (a *Answer) Close() {
	stopped := a.stop()
	if stopped && a.whole && a.reusable && a.writing.whole.Load() && a.conn.r.Buffered() == 0 {
		a.SetReadDeadline(time.Time{})
		a.pool.put(a.address, a.conn, a.keepAlive)
		return
	}
	a.pool.drop(a.address, a.conn)
}
