// Package trace records the events that a decision core was given, and replays
// them against stated outcomes.
//
// A trace is a file of JSON lines: a header, then one line an event with its time
// and the actions that the core returned. It has no prompt and no answer; an
// idempotency key stands as a hash. Labels are recorded, since selectors need
// them, and with them the path of a request.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/recovery"
)

// version is that of the file's form.
const version = 1

// Header says what kind of core the events were given to.
type Header struct {
	Version int       `json:"version"`
	Start   time.Time `json:"start"`
	Zone    string    `json:"zone"`
	Region  string    `json:"region"`
	// Modules are the IDs of the chain, with their default options.
	Modules []string `json:"modules"`
	// Recovery has the rates that moves of streams are planned with.
	Recovery recovery.Rates `json:"recovery"`
}

// Line is one event.
type Line struct {
	// At is the time since the start in nanoseconds.
	At      time.Duration   `json:"at"`
	Kind    string          `json:"kind"`
	Event   json.RawMessage `json:"event,omitempty"`
	Actions []string        `json:"actions,omitempty"`
}

// config is the recorded form of a ConfigEvent.
type config struct {
	Objects []*api.Object `json:"objects"`
	Leaving []string      `json:"leaving,omitempty"`
}

// Recorder writes a trace. It is safe for concurrent use. The first failed write
// ends the recording; Close returns its error.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  io.WriteCloser
	err   error
}

// NewRecorder writes the header and returns the recorder.
func NewRecorder(file io.WriteCloser, h Header) (*Recorder, error) {
	h.Version = version
	r := &Recorder{start: h.Start, out: bufio.NewWriter(file), file: file}
	r.write(h)
	return r, r.err
}

// Record writes one event and the actions it led to.
func (r *Recorder) Record(now time.Time, ev decision.Event, actions []decision.Action) {
	kind, form := encode(ev)
	data, err := json.Marshal(form)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.err = err
		return
	}
	line := Line{At: now.Sub(r.start), Kind: kind, Event: data}
	for _, a := range actions {
		line.Actions = append(line.Actions, Describe(a))
	}
	r.write(line)
}

func (r *Recorder) write(v any) {
	if r.err != nil {
		return
	}
	data, err := json.Marshal(v)
	if err == nil {
		_, err = r.out.Write(append(data, '\n'))
	}
	r.err = err
}

// Close writes what is buffered and closes the file.
func (r *Recorder) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); r.err == nil {
		r.err = err
	}
	if err := r.file.Close(); r.err == nil {
		r.err = err
	}
	return r.err
}

// encode returns the name of an event and what is recorded of it.
func encode(ev decision.Event) (string, any) {
	switch ev := ev.(type) {
	case decision.ConfigEvent:
		return "config", config{Objects: ev.Catalog.Objects(), Leaving: ev.Leaving}
	case decision.RequestEvent:
		if ev.Key != "" {
			ev.Key = fmt.Sprintf("%016x", xxhash.Sum64String(ev.Key))
		}
		return "request", ev
	}
	for kind, k := range kinds {
		if k.is(ev) {
			return kind, ev
		}
	}
	return fmt.Sprintf("%T", ev), ev
}

// Describe writes an action in one line.
func Describe(a decision.Action) string {
	switch a := a.(type) {
	case decision.AcceptAction:
		return "accept " + a.ID
	case decision.ClaimAction:
		return "claim " + a.ID
	case decision.DispatchAction:
		return fmt.Sprintf("dispatch %s %d %s", a.ID, a.Attempt, a.Upstream)
	case decision.CancelAction:
		return "cancel " + a.ID
	case decision.MoveAction:
		return fmt.Sprintf("move %s %d", a.ID, a.Attempt)
	case decision.FinishAction:
		return "finish " + a.ID
	case decision.ReplayAction:
		return "replay " + a.ID
	case decision.RefuseAction:
		return fmt.Sprintf("refuse %s %s", a.ID, a.Reason)
	}
	return fmt.Sprintf("%T", a)
}
