package soak

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"jaylink/standin/upstream"
)

// eventRE matches an event as upstreams that name their runs send it.
var eventRE = regexp.MustCompile(`^id: \d+\ndata: piece (\d+) of (i-\d+/\d+)\n\n$`)

// eventStartRE matches the beginning of an event's bytes up to any length.
var eventStartRE = regexp.MustCompile(`^id: \d+\ndata: piece \d+ of (i(-(\d+(/(\d+\n?)?)?)?)?)?$`)

// streamRules say what a stream may be made of.
type streamRules struct {
	// gapped says how the events are numbered.
	gapped bool
	// resumable is set if a stream may go on with another run.
	resumable bool
	// runs holds all runs by name.
	runs map[string]upstream.Run
}

// check returns what is wrong with the bytes of a request's stream, or "": an event is missing,
// repeated or of another request, a run follows that does not go on after the event before it,
// or the stream ended as complete too early.
func (s streamRules) check(body, requestID string, complete bool) string {
	parts := strings.SplitAfter(body, "\n\n")
	events, rest := parts[:len(parts)-1], parts[len(parts)-1]
	last := ""
	for n, text := range events {
		m := eventRE.FindStringSubmatch(text)
		if m == nil || n >= upstream.Events || text != upstream.NamedEvent(n, m[2], s.gapped) {
			return fmt.Sprintf("event %d is missing, repeated or no event: %q", n, text)
		}
		run, ok := s.runs[m[2]]
		switch {
		case !ok || run.RequestID != requestID:
			return fmt.Sprintf("event %d is of run %s, which belongs to request %q", n, m[2], run.RequestID)
		case m[2] == last:
		case last != "" && !s.resumable:
			return fmt.Sprintf("run %s follows run %s at event %d of a stream that may not be resumed", m[2], last, n)
		case run.Resumed != n-1:
			return fmt.Sprintf("run %s, which began after event %d, is joined at event %d", m[2], run.Resumed, n)
		}
		last = m[2]
	}
	switch {
	case complete && (len(events) < upstream.Events || rest != ""):
		return fmt.Sprintf("complete stream has %d of %d events and %d bytes more", len(events), upstream.Events, len(rest))
	case !s.startsEvent(rest, len(events)):
		return fmt.Sprintf("bytes after event %d begin no event: %q", len(events)-1, rest)
	}
	return ""
}

// startsEvent reports whether bytes are the beginning of the event with a number.
func (s streamRules) startsEvent(text string, n int) bool {
	if text == "" || n >= upstream.Events {
		return text == ""
	}
	start := "id: " + strconv.Itoa(upstream.EventID(n, s.gapped)) + "\ndata: piece " + strconv.Itoa(n) + " of "
	if len(text) <= len(start) {
		return strings.HasPrefix(start, text)
	}
	return strings.HasPrefix(text, start) && eventStartRE.MatchString(text)
}

// checkOrder checks the streams that callers received against the runs of the upstreams.
func checkOrder(f *fleet, s seen, observations []observation, report func(string, ...any)) {
	rules := streamRules{gapped: f.gappedIDs, runs: map[string]upstream.Run{}}
	for _, r := range s.runs {
		rules.runs[r.Name] = r
	}
	for _, v := range observations {
		if !streams(v.route) || v.status != http.StatusOK {
			continue
		}
		rules.resumable = v.route == "stream"
		if problem := rules.check(v.stream, v.id, v.complete); problem != "" {
			report("ORDER: %s %s at %s: %s", v.route, v.id, v.entry, problem)
		}
	}
}
