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

// errorEventType is the type of the event that ends a stream that failed after
// its first byte. Its data is a Problem.
var errorEventType = sse.Type("error")

// stream sends a completion as server-sent events, starting at an offset of its
// text. The ID of each event is the offset after its text, in bytes.
func (e *Entry) stream(w http.ResponseWriter, r *http.Request, rec *Record, offset int) {
	started := false
	for {
		v, changed := rec.read(offset)
		if v.problem != nil && !started {
			v.problem.write(w)
			return
		}
		if len(v.text) > 0 {
			started = startStream(w, started)
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
			startStream(w, started)
			endStream(w, rec, v)
			return
		case v.moved():
			startStream(w, started)
			_ = writeEvent(w, movedEvent(rec, v, offset))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func startStream(w http.ResponseWriter, started bool) bool {
	if !started {
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
	return writeEvent(w, m)
}

func writeEvent(w http.ResponseWriter, m *sse.Message) error {
	if _, err := m.WriteTo(w); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// endStream writes the last events of a stream: the finish reason and the end
// marker, or the problem. Only the caller notices a failed write.
func endStream(w http.ResponseWriter, rec *Record, v view) {
	if v.problem != nil {
		data, _ := json.Marshal(v.problem)
		m := &sse.Message{Type: errorEventType}
		m.AppendData(string(data))
		_ = writeEvent(w, m)
		return
	}
	_ = writeChunk(w, upstream.Chunk{
		ID:      rec.ID,
		Object:  "text_completion",
		Model:   rec.Call.Completion.Model,
		Choices: []upstream.Choice{{FinishReason: v.finishReason}},
		Usage:   &upstream.Usage{CompletionTokens: v.tokens},
	}, strconv.Itoa(v.total))
	m := &sse.Message{}
	m.AppendData(upstream.StreamEnd)
	_ = writeEvent(w, m)
}

// lastEventOffset returns the offset from the Last-Event-ID header, at which
// the stream resumes; 0 without the header.
func lastEventOffset(r *http.Request) (int, error) {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.ParseUint(text, 10, 31)
	return int(offset), err
}

// customerOf returns the name of the customer whose selector matches the labels
// of the request.
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
