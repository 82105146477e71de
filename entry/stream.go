package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"jaylink/decision/reason"
	"jaylink/upstream"
)

const headerLastEventID = "Last-Event-ID"

// errorEvent is the type of the event that ends a stream which failed after
// its first byte; its data is a problem.
var errorEvent = sse.Type("error")

// stream relays a completion as server-sent events from an offset on. Each
// event's ID is the offset in the answer after it, in bytes.
func (e *Entry) stream(w http.ResponseWriter, r *http.Request, rec *Record, offset int) {
	begun := false
	for {
		v, changed := rec.read(offset)
		if v.problem != nil && !begun {
			v.problem.write(w)
			return
		}
		if len(v.text) > 0 {
			begun = begin(w, begun)
			offset = v.total
			if err := writeText(w, rec, string(v.text), offset); err != nil {
				return
			}
		}
		switch {
		case v.done && offset > v.total:
			v.problem = attachProblem(reason.OutcomeUnknown, "the answer ends before the offset")
			fallthrough
		case v.done:
			begin(w, begun)
			end(w, rec, v)
			return
		case v.moved():
			begin(w, begun)
			_ = send(w, movedEvent(rec, v, offset))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func begin(w http.ResponseWriter, begun bool) bool {
	if !begun {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-store")
		w.WriteHeader(http.StatusOK)
	}
	return true
}

func writeText(w http.ResponseWriter, rec *Record, text string, offset int) error {
	return writeChunk(w, upstream.Chunk{
		ID:      rec.ID,
		Object:  "text_completion",
		Model:   rec.Call.Completion.Model,
		Choices: []upstream.Choice{{Text: text}},
	}, strconv.Itoa(offset))
}

func writeChunk(w http.ResponseWriter, chunk upstream.Chunk, id string) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	m := &sse.Message{ID: sse.ID(id)}
	m.AppendData(string(data))
	return send(w, m)
}

func send(w http.ResponseWriter, m *sse.Message) error {
	if _, err := m.WriteTo(w); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// end writes the last events of a stream: the finish reason and the end mark,
// or the problem. A failed write shows on the caller's side.
func end(w http.ResponseWriter, rec *Record, v view) {
	if v.problem != nil {
		data, _ := json.Marshal(v.problem)
		m := &sse.Message{Type: errorEvent}
		m.AppendData(string(data))
		_ = send(w, m)
		return
	}
	_ = writeChunk(w, upstream.Chunk{
		ID:      rec.ID,
		Object:  "text_completion",
		Model:   rec.Call.Completion.Model,
		Choices: []upstream.Choice{{FinishReason: v.finish}},
		Usage:   &upstream.Usage{CompletionTokens: v.tokens},
	}, strconv.Itoa(v.total))
	m := &sse.Message{}
	m.AppendData(upstream.StreamEnd)
	_ = send(w, m)
}

// lastEventOffset returns the offset after which a caller goes on; 0 without
// the header.
func lastEventOffset(r *http.Request) (int, error) {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.ParseUint(text, 10, 31)
	return int(offset), err
}

// customerOf returns the customer that the request's labels select.
func (e *Entry) customerOf(r *http.Request) (string, bool) {
	labels, err := requestLabels(r)
	if err != nil {
		return "", false
	}
	o := e.config.catalog().Customer(labels)
	if o == nil {
		return "", false
	}
	return o.Name, true
}
