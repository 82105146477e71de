package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/reason"
	"jaylink/internal/membudget"
	"jaylink/platform"
	"jaylink/upstream/exchange"
)

const (
	// maxEventLine limits one line of an event, in bytes.
	maxEventLine = 64 << 10
	// maxEventBytes limits one event, in bytes; usual events have some hundred.
	maxEventBytes = 256 << 10
)

// errTruncatedEvent means that a stream ended inside an event.
var errTruncatedEvent = errors.New("stream ended inside an event")

// errMissingEvent means that an upstream which goes on with a stream has left out an event.
var errMissingEvent = errors.New("first event of a resumed stream is missing")

// eventReader splits a stream of server-sent events without changing its bytes.
type eventReader struct {
	r *bufio.Reader
	// pending holds the part of the current event that has been read.
	pending *membudget.Buffer
}

// event is one server-sent event.
type event struct {
	// data is the event as received, with the blank line that ends it. It is valid
	// until the next call of next.
	data []byte
	// id is -1 if the event has none.
	id int64
	// empty is set if the event has no data line, as is the case for comments that
	// keep the connection alive.
	empty bool
}

// eventReadSize is the size in bytes of a read from a stream.
const eventReadSize = 4 << 10

func newEventReader(r io.Reader, pending *membudget.Buffer) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventReadSize), pending: pending}
}

// next returns the next complete event. It returns io.EOF if the stream ends between
// two events, and errTruncatedEvent if it ends inside one.
func (e *eventReader) next() (event, error) {
	e.pending.Reset()
	ev := event{id: -1, empty: true}
	for {
		line, err := e.readLine()
		if errors.Is(err, io.EOF) && len(e.pending.Bytes()) > 0 {
			err = errTruncatedEvent
		}
		if err != nil {
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			ev.data = e.pending.Bytes()
			return ev, nil
		}
		ev.empty = ev.empty && !bytes.HasPrefix(line, []byte("data"))
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64); err == nil {
				ev.id = n
			}
		}
	}
}

// readLine reads a line, which it appends to the pending event.
func (e *eventReader) readLine() ([]byte, error) {
	begin := len(e.pending.Bytes())
	for {
		part, err := e.r.ReadSlice('\n')
		if full := e.pending.Append(part); full != nil {
			return nil, full
		}
		line := e.pending.Bytes()[begin:]
		switch {
		case len(line) > maxEventLine || begin+len(line) > maxEventBytes:
			return nil, exchange.ErrTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		}
		return line, err
	}
}

// relayStream relays the events of a stream as they arrive. It skips those that the
// caller already has from an earlier attempt.
func (g *Gateway) relayStream(ctx context.Context, r *request, t *placement.Ticket, answer *exchange.Answer) attemptResult {
	pending := g.answerMemory.NewBuffer()
	defer pending.Release()
	events := newEventReader(answer, pending)
	r.progress.numbering.isFirst = true
	onSilence := g.onSilence(r, r.progress.attempts)
	for ev := (event{}); ; {
		// Comments don't extend the deadline of the next event.
		if !ev.empty {
			answer.Expect(nextEventDeadline(r), onSilence)
		}
		var err error
		ev, err = events.next()
		if errors.Is(err, io.EOF) {
			if err = g.checkStreamEnd(ctx, r, answer); err == nil {
				return g.handleStreamEnd(r, t, answer)
			}
		}
		if err != nil {
			return g.handleBrokenStream(ctx, r, t, err)
		}
		g.markStarted(r, t)
		g.recordWriting(r)
		if ev.id >= 0 && ev.id <= r.progress.lastEvent {
			continue
		}
		if r.progress.numbering.lacksEvent(r.progress.lastEvent, ev.id) {
			return g.handleBrokenStream(ctx, r, t, errMissingEvent)
		}
		if err := g.relayEvent(r, answer, ev); err != nil {
			g.endAttempt(t, placement.Abandoned)
			r.progress.detail = err.Error()
			return callerGone
		}
	}
}

// numbering tells whether the events of a stream are numbered one after the other. IDs need only
// increase, so a gap says nothing unless they were.
type numbering struct {
	steps  int
	gapped bool
	// isFirst is set until an upstream's first event that the caller does not have.
	isFirst bool
}

// add counts an event after the one before it.
func (n *numbering) add(before, id int64) {
	n.steps++
	n.gapped = n.gapped || before >= 0 && id != before+1
	n.isFirst = false
}

// lacksEvent reports whether an upstream that goes on with a stream has left out the event after
// the last one.
func (n *numbering) lacksEvent(last, id int64) bool {
	return n.isFirst && n.steps >= 2 && !n.gapped && id > last+1
}

// relayEvent writes an event to the caller, after the status and headers if these have
// not been sent.
func (g *Gateway) relayEvent(r *request, answer *exchange.Answer, ev event) error {
	g.sendHead(r, answer)
	if _, err := r.reply.Write(ev.data); err != nil {
		return err
	}
	switch {
	case ev.id < 0 && !ev.empty:
		// Another upstream would send an event without an ID once more.
		r.progress.partial = true
	case ev.id >= 0:
		r.progress.numbering.add(r.progress.lastEvent, ev.id)
		r.progress.lastEvent = ev.id
	}
	now := time.Now()
	if !r.progress.lastEventAt.IsZero() {
		gap := now.Sub(r.progress.lastEventAt)
		r.progress.longestPause = max(r.progress.longestPause, gap)
		r.progress.gaps++
		if gap > r.progress.gapThreshold {
			r.progress.longGaps++
		}
	}
	r.progress.lastEventAt = now
	return r.reply.flush()
}

// sendHead sends the status and headers of a stream, once per request: a resumed stream
// goes on under those of its first upstream.
func (g *Gateway) sendHead(r *request, answer *exchange.Answer) {
	if r.reply.begun() {
		return
	}
	header := platform.CallerAnswer(answer.Header)
	header.Del("Content-Length")
	r.reply.begin(answer.Status, header)
}

// checkStreamEnd is checkEnd for streams. One that ends with its connection has at least
// one event.
func (g *Gateway) checkStreamEnd(ctx context.Context, r *request, answer *exchange.Answer) error {
	if !answer.Delimited && r.progress.writingSince.IsZero() {
		return errNoEvent
	}
	return g.checkEnd(ctx, r, answer)
}

// handleStreamEnd ends an attempt whose stream is complete.
func (g *Gateway) handleStreamEnd(r *request, t *placement.Ticket, answer *exchange.Answer) attemptResult {
	g.sendHead(r, answer)
	g.recordAnswer(r, t, !r.progress.writingSince.IsZero())
	return delivered
}

// handleBrokenStream ends an attempt whose stream failed or fell silent.
func (g *Gateway) handleBrokenStream(ctx context.Context, r *request, t *placement.Ticket, err error) attemptResult {
	p := &r.progress
	p.detail = err.Error()
	if ctx.Err() != nil {
		g.endAttempt(t, placement.Abandoned)
		return callerGone
	}
	outcome, code := classifyAnswerError(err)
	if isTimeout(err) {
		outcome, code = placement.Unreachable, reason.NoAnswer
	}
	p.reason = code
	g.endAttempt(t, outcome)
	g.logFailedAttempt(r, "stream broken")
	g.suspectCrash(r, err)
	return broken
}
