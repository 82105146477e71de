package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"jaylink/api"
	"jaylink/decision"
)

// maxLineSize is the maximum size of a line in bytes; the longest lines contain
// configurations.
const maxLineSize = 64 << 20

// Trace is a decoded trace.
type Trace struct {
	Header Header
	Events []Event
}

// Event is an event that was passed to the recorded core.
type Event struct {
	// At is the time since Header.Start.
	At    time.Duration
	Event decision.Event
	// Actions are the actions that the core returned for the event, in the form
	// that Describe returns.
	Actions []string
}

// eventCodec recognizes and decodes the events of one type.
type eventCodec struct {
	matches func(decision.Event) bool
	decode  func(data []byte) (decision.Event, error)
}

func codecFor[E decision.Event]() eventCodec {
	return eventCodec{
		matches: func(ev decision.Event) bool {
			_, ok := ev.(E)
			return ok
		},
		decode: func(data []byte) (decision.Event, error) {
			var ev E
			err := json.Unmarshal(data, &ev)
			return ev, err
		},
	}
}

// eventCodecs contains, by Line.Kind, the types of events that are encoded directly as
// JSON. A ConfigEvent is encoded as a recordedConfig instead.
var eventCodecs = map[string]eventCodec{
	"entries": codecFor[decision.EntriesEvent](),
	"usage":   codecFor[decision.UsageEvent](),
	"request": codecFor[decision.RequestEvent](),
	"claim":   codecFor[decision.ClaimEvent](),
	"attempt": codecFor[decision.AttemptEvent](),
	"silence": codecFor[decision.SilenceEvent](),
	"load":    codecFor[decision.LoadEvent](),
	"cache":   codecFor[decision.CacheEvent](),
	"leaving": codecFor[decision.LeavingEvent](),
	"drain":   codecFor[decision.DrainEvent](),
	"stop":    codecFor[decision.StopEvent](),
	"adopt":   codecFor[decision.AdoptEvent](),
	"release": codecFor[decision.ReleaseEvent](),
	"crash":   codecFor[decision.CrashEvent](),
	"reclaim": codecFor[decision.ReclaimEvent](),
	"moved":   codecFor[decision.MovedEvent](),
	"tick":    codecFor[decision.TickEvent](),
}

// Read decodes a trace. Errors contain the line number.
func Read(in io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineSize)
	if !scanner.Scan() {
		return nil, errors.Join(errors.New("line 1: the trace is empty"), scanner.Err())
	}
	t := &Trace{}
	if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	if t.Header.Version != formatVersion {
		return nil, fmt.Errorf("line 1: unsupported version %d; only version %d is supported", t.Header.Version, formatVersion)
	}
	for n := 2; scanner.Scan(); n++ {
		ev, err := decodeLine(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if len(t.Events) > 0 && ev.At < t.Events[len(t.Events)-1].At {
			return nil, fmt.Errorf("line %d: time is earlier than that of the previous event", n)
		}
		t.Events = append(t.Events, ev)
	}
	return t, scanner.Err()
}

func decodeLine(data []byte) (Event, error) {
	var line Line
	if err := json.Unmarshal(data, &line); err != nil {
		return Event{}, err
	}
	ev, err := decodeEvent(line)
	return Event{At: line.At, Event: ev, Actions: line.Actions}, err
}

func decodeEvent(line Line) (decision.Event, error) {
	if line.Kind == "config" {
		var c recordedConfig
		err := json.Unmarshal(line.Event, &c)
		return decision.ConfigEvent{Catalog: api.NewCatalog(c.Objects), Leaving: c.Leaving}, err
	}
	k, ok := eventCodecs[line.Kind]
	if !ok {
		return nil, fmt.Errorf("kind %q is not known", line.Kind)
	}
	return k.decode(line.Event)
}
