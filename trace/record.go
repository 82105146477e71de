// Package trace records the events passed to a core of package decision, and replays
// them to check the results against specified outcomes.
//
// A trace is a file of JSON lines: a header, then one line per event with its time and
// the actions that the core returned. It contains no prompts or answers, and only
// hashes of idempotency keys. Labels are recorded, since selectors need them; they
// include the path of a request.
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

// formatVersion is the version of the file format.
const formatVersion = 1

// Header describes the core that the events were passed to.
type Header struct {
	Version int       `json:"version"`
	Start   time.Time `json:"start"`
	// Zone and Region are the location of the entry, the gateway process that the
	// core belongs to.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Modules are the IDs of the core's modules. Their options are not recorded;
	// replays use the default options.
	Modules []string `json:"modules"`
	// Recovery contains the rates used to plan moves of streams to other
	// upstreams.
	Recovery recovery.Rates `json:"recovery"`
}

// Line is the encoding of one event.
type Line struct {
	// At is the time since Header.Start in nanoseconds.
	At time.Duration `json:"at"`
	// Kind is the type of the event: "config" or a key of eventCodecs.
	Kind  string          `json:"kind"`
	Event json.RawMessage `json:"event,omitempty"`
	// Actions are the returned actions in the form that Describe returns.
	Actions []string `json:"actions,omitempty"`
}

// recordedConfig is the encoding of a ConfigEvent.
type recordedConfig struct {
	Objects []*api.Object `json:"objects"`
	// Leaving names the upstreams that are about to leave; see
	// decision.ConfigEvent.
	Leaving []string `json:"leaving,omitempty"`
}

// Recorder writes a trace. It is safe for concurrent use. It records nothing more after
// the first error, which Close returns.
type Recorder struct {
	mu    sync.Mutex
	start time.Time
	out   *bufio.Writer
	file  io.WriteCloser
	err   error
}

// NewRecorder returns a recorder that has written the header to file.
func NewRecorder(file io.WriteCloser, h Header) (*Recorder, error) {
	h.Version = formatVersion
	r := &Recorder{start: h.Start, out: bufio.NewWriter(file), file: file}
	r.write(h)
	return r, r.err
}

// Record writes one event and the actions that the core returned for it.
func (r *Recorder) Record(now time.Time, ev decision.Event, actions []decision.Action) {
	kind, recorded := encodeEvent(ev)
	data, err := json.Marshal(recorded)
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

// Close writes the buffered data and closes the file.
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

// encodeEvent returns the kind of an event and the value to record for it, in which an
// idempotency key is replaced by its hash.
func encodeEvent(ev decision.Event) (string, any) {
	switch ev := ev.(type) {
	case decision.ConfigEvent:
		return "config", recordedConfig{Objects: ev.Catalog.Objects(), Leaving: ev.Leaving}
	case decision.RequestEvent:
		if ev.Key != "" {
			ev.Key = fmt.Sprintf("%016x", xxhash.Sum64String(ev.Key))
		}
		return "request", ev
	}
	for kind, k := range eventCodecs {
		if k.matches(ev) {
			return kind, ev
		}
	}
	return fmt.Sprintf("%T", ev), ev
}

// Describe returns the one-line text by which traces represent an action.
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
	case decision.GiveUpAction:
		return fmt.Sprintf("give up %s %d", a.ID, a.Attempt)
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
