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

// maxLine bounds one line in bytes; the longest is a configuration.
const maxLine = 64 << 20

// Trace is a trace that was read.
type Trace struct {
	Header Header
	Events []Event
}

// Event is one recorded event.
type Event struct {
	At      time.Duration
	Event   decision.Event
	Actions []string
}

// kind decodes the events of one type.
type kind struct {
	is     func(decision.Event) bool
	decode func(data []byte) (decision.Event, error)
}

func kindOf[E decision.Event]() kind {
	return kind{
		is: func(ev decision.Event) bool {
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

// kinds has the events that are recorded as they are.
var kinds = map[string]kind{
	"entries": kindOf[decision.EntriesEvent](),
	"usage":   kindOf[decision.UsageEvent](),
	"request": kindOf[decision.RequestEvent](),
	"claim":   kindOf[decision.ClaimEvent](),
	"attempt": kindOf[decision.AttemptEvent](),
	"load":    kindOf[decision.LoadEvent](),
	"cache":   kindOf[decision.CacheEvent](),
	"leaving": kindOf[decision.LeavingEvent](),
	"drain":   kindOf[decision.DrainEvent](),
	"stop":    kindOf[decision.StopEvent](),
	"adopt":   kindOf[decision.AdoptEvent](),
	"release": kindOf[decision.ReleaseEvent](),
	"crash":   kindOf[decision.CrashEvent](),
	"reclaim": kindOf[decision.ReclaimEvent](),
	"moved":   kindOf[decision.MovedEvent](),
	"tick":    kindOf[decision.TickEvent](),
}

// Read reads a trace. Errors name the line.
func Read(in io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	if !scanner.Scan() {
		return nil, errors.Join(errors.New("line 1: the trace is empty"), scanner.Err())
	}
	t := &Trace{}
	if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	if t.Header.Version != version {
		return nil, fmt.Errorf("line 1: version %d is not known; %d is", t.Header.Version, version)
	}
	for n := 2; scanner.Scan(); n++ {
		ev, err := decodeLine(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if len(t.Events) > 0 && ev.At < t.Events[len(t.Events)-1].At {
			return nil, fmt.Errorf("line %d: time goes back", n)
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
		var c config
		err := json.Unmarshal(line.Event, &c)
		return decision.ConfigEvent{Catalog: api.NewCatalog(c.Objects), Leaving: c.Leaving}, err
	}
	k, ok := kinds[line.Kind]
	if !ok {
		return nil, fmt.Errorf("kind %q is not known", line.Kind)
	}
	return k.decode(line.Event)
}
