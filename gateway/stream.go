package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"jaylink/decision/placement"
	"jaylink/decision/reason"
	"jaylink/platform"
	"jaylink/upstream/exchange"
)

const (
	// eventBuffer is the longest line of an event, in bytes.
	eventBuffer = 64 << 10
	// maxEvent bounds one event, in bytes; the users' are some hundred.
	maxEvent = 256 << 10
	// pauseFactor times the route's objective for pauses, and at least
	// minPauseLimit, is when a silent stream goes on at another upstream.
	pauseFactor   = 3
	minPauseLimit = 700 * time.Millisecond
)

// errTorn means that a stream ended inside an event.
var errTorn = errors.New("the stream ended inside an event")

// eventReader splits a stream into events, bytes unchanged.
type eventReader struct {
	r       *bufio.Reader
	pending []byte
}

// event is one event with the blank line that ends it.
type event struct {
	data []byte
	// id is -1 if the event has none.
	id int64
	// empty says that the event has no data, like a comment that only keeps a
	// connection open.
	empty bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event. It returns io.EOF only at the end of an
// event.
func (e *eventReader) next() (event, error) {
	e.pending = e.pending[:0]
	ev := event{id: -1, empty: true}
	for {
		line, err := e.r.ReadSlice('\n')
		e.pending = append(e.pending, line...)
		if len(e.pending) > maxEvent || errors.Is(err, bufio.ErrBufferFull) {
			return event{}, exchange.ErrTooLong
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.pending) > 0 {
				err = errTorn
			}
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			ev.data = e.pending
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

// relayStream passes events on as they come.
func (g *Gateway) relayStream(ctx context.Context, r *request, t *placement.Ticket, answer *exchange.Answer, head platform.UpstreamHeaders) (ending, *heldAnswer) {
	if !genuine(answer, head) {
		return g.brokenAnswer(r, t, errors.New("the answer bears no proof")), nil
	}
	events := newEventReader(answer)
	for ev := (event{}); ; {
		if !ev.empty {
			answer.SetReadDeadline(g.pauseEnd(r))
		}
		var err error
		ev, err = events.next()
		if errors.Is(err, io.EOF) {
			return g.endOfStream(r, t, answer), nil
		}
		if err != nil {
			return g.brokenStream(ctx, r, t, err), nil
		}
		g.countRun(r, t)
		if ev.id >= 0 && ev.id <= r.progress.lastEvent {
			continue
		}
		if err := g.relayEvent(r, answer, ev); err != nil {
			g.end(t, placement.Abandoned)
			r.progress.detail = "caller: " + err.Error()
			return callerGone, nil
		}
	}
}

// pauseEnd is when an event of a stream that may go on elsewhere is overdue; it
// is zero if the wait has no bound.
func (g *Gateway) pauseEnd(r *request) time.Time {
	if !g.mayGoOn(r, r.progress.attempts) {
		return time.Time{}
	}
	return time.Now().Add(max(pauseFactor*r.route.PauseObjective, minPauseLimit))
}

// relayEvent writes an event, and before the first one the head of its answer.
func (g *Gateway) relayEvent(r *request, answer *exchange.Answer, ev event) error {
	g.sendHead(r, answer)
	if _, err := r.w.Write(ev.data); err != nil {
		return err
	}
	if ev.id >= 0 {
		r.progress.lastEvent = ev.id
	}
	now := time.Now()
	if !r.progress.lastAt.IsZero() {
		r.progress.pause = max(r.progress.pause, now.Sub(r.progress.lastAt))
	}
	r.progress.lastAt = now
	return http.NewResponseController(r.w).Flush()
}

func (g *Gateway) sendHead(r *request, answer *exchange.Answer) {
	if r.progress.headSent {
		return
	}
	r.progress.headSent = true
	maps.Copy(r.w.Header(), platform.CallerAnswer(answer.Header))
	r.w.Header().Del("Content-Length")
	r.w.WriteHeader(answer.Status)
}

func (g *Gateway) endOfStream(r *request, t *placement.Ticket, answer *exchange.Answer) ending {
	g.sendHead(r, answer)
	g.answered(r, t)
	return delivered
}

func (g *Gateway) brokenStream(ctx context.Context, r *request, t *placement.Ticket, err error) ending {
	p := &r.progress
	p.detail = err.Error()
	if ctx.Err() != nil {
		g.end(t, placement.Abandoned)
		return callerGone
	}
	outcome, why := faultOf(err)
	if isTimeout(err) {
		outcome, why = placement.Unreachable, reason.NoAnswer
	}
	p.why = why
	g.end(t, outcome)
	g.logAttempt(r, "stream broken")
	g.suspectCrash(r, err)
	return broken
}
