// Package timeline selects from the gateway's log lines those about one request, one
// upstream, one version of the configuration, or the fleet-wide duties (the lease,
// usage reports and orders of upstreams).
package timeline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is a decoded log line.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Entry   string
	// Fields has the other keys of the line.
	Fields map[string]any
}

// maxLine is the maximum length of a line in bytes.
const maxLine = 1 << 20

// Read reads log lines. It ignores text before the first brace of a line, and skips and
// counts lines that are not JSON log lines.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at := strings.IndexByte(text, '{')
		if at < 0 {
			skipped++
			continue
		}
		line, ok := parse(text[at:])
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parse(text string) (Line, bool) {
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return Line{}, false
	}
	pop := func(key string) string {
		s, ok := fields[key].(string)
		if ok {
			delete(fields, key)
		}
		return s
	}
	at, err := time.Parse(time.RFC3339Nano, pop("time"))
	line := Line{Time: at, Level: pop("level"), Message: pop("msg"), Entry: pop("entry"), Fields: fields}
	return line, err == nil && line.Message != ""
}

// Query selects what to explain. Exactly one of its fields is set.
type Query struct {
	RequestID string
	Upstream  string
	// Version is the version of a configuration.
	Version uint64
	// Duties asks for the lease, usage reports and orders.
	Duties bool
}

// contextWindow is the time before and after a request's lines in which Explain
// includes lines about its upstreams and entries.
const contextWindow = 3 * time.Second

// dutyMessages are the log messages about duties.
var dutyMessages = []string{
	"holds the duties", "duty refused: a newer holder has acted", "usage reported", "usage not reported yet",
	"usage not fixed yet", "upstreams ordered", "no spot upstreams to be had", "order not accepted yet",
	"usage not reported: the report may have been sent before the store was restored", restoredMessage,
}

// restoredMessage is the log message with which an entry notices that the store has come back
// from an older copy. Revisions and stored records of before and after it differ.
const restoredMessage = "store came back from an older copy"

// stateMessages are the log messages about the state of an entry.
var stateMessages = []string{
	"configuration in force", "dependency lost", "dependency regained", "started", "stopping", "stopped",
	"clock set to that of most entries", restoredMessage, "configuration is invalid; keeping the active one",
}

// Explain returns the lines that match a query, ordered by time. For a request it adds
// the lines about the state of its entries and about its upstreams.
func Explain(lines []Line, q Query) []Line {
	out := slices.Collect(func(yield func(Line) bool) {
		for _, l := range lines {
			if q.matches(l) && !yield(l) {
				return
			}
		}
	})
	if q.RequestID != "" && len(out) > 0 {
		about := out
		surrounding := surroundingLines(lines, about, q)
		out = slices.Concat(about, limitsInForce(lines, about, surrounding), partVerdicts(lines, about), surrounding)
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out
}

func (q Query) matches(l Line) bool {
	switch {
	case q.RequestID != "":
		return l.Fields["request_id"] == q.RequestID
	case q.Upstream != "":
		return l.Fields["upstream"] == q.Upstream && l.Fields["outcome"] != "answered" || l.Message == restoredMessage
	case q.Version != 0:
		return l.Message == "configuration in force" && l.Fields["version"] == float64(q.Version) || l.Message == restoredMessage
	}
	return q.Duties && slices.Contains(dutyMessages, l.Message)
}

// surroundingLines returns the lines within contextWindow about the state of the
// request's entries and about its upstreams.
func surroundingLines(all, about []Line, q Query) []Line {
	entries, upstreams := map[string]bool{}, map[any]bool{}
	from, to := about[0].Time, about[0].Time
	for _, l := range about {
		entries[l.Entry] = true
		if u, ok := l.Fields["upstream"].(string); ok && u != "" {
			upstreams[u] = true
		}
		if l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
	}
	from, to = from.Add(-contextWindow), to.Add(contextWindow)
	var out []Line
	for _, l := range all {
		if l.Time.Before(from) || l.Time.After(to) || l.Fields["request_id"] == q.RequestID {
			continue
		}
		stateLine := entries[l.Entry] && slices.Contains(stateMessages, l.Message)
		upstreamLine := upstreams[l.Fields["upstream"]] && l.Message != "request"
		if stateLine || upstreamLine {
			out = append(out, l)
		}
	}
	return out
}

// limitMessage is the log message of a change of an upstream's limit, and limitedReason
// the reason of a refusal because all upstreams are limited.
const (
	limitMessage  = "upstream changed its limit"
	limitedReason = "upstreams_limited"
)

// limitsInForce returns, if a request was refused because of the limits of upstreams, the
// line with which each limit came into force at the request's entry. That may be long
// before the request. Lines that are already among the surrounding ones are left out.
func limitsInForce(all, about, surrounding []Line) []Line {
	var out []Line
	for _, refused := range about {
		if refused.Fields["reason"] != limitedReason {
			continue
		}
		latest := map[any]Line{}
		for _, l := range all {
			if l.Message == limitMessage && l.Entry == refused.Entry && !l.Time.After(refused.Time) && !l.Time.Before(latest[l.Fields["upstream"]].Time) {
				latest[l.Fields["upstream"]] = l
			}
		}
		for _, l := range latest {
			known := slices.ContainsFunc(surrounding, func(o Line) bool { return o.Time.Equal(l.Time) && o.String() == l.String() })
			if l.Fields["limit"] != "none" && !known {
				out = append(out, l)
			}
		}
	}
	return out
}

// partMessage is the log message of a verdict on a part of prompts, and partReason the
// reason of a refusal because of one.
const (
	partMessage = "verdict on a part"
	partReason  = "poison_part"
)

// partVerdicts returns, if a request was refused because of a part of its prompt, the
// verdicts on that part until then at all entries. The entry that passed the verdict names
// the crashes.
func partVerdicts(all, about []Line) []Line {
	var out []Line
	for _, refused := range about {
		if refused.Fields["reason"] != partReason {
			continue
		}
		for _, l := range all {
			if l.Message == partMessage && l.Fields["part"] == refused.Fields["part"] && !l.Time.After(refused.Time) {
				out = append(out, l)
			}
		}
	}
	return out
}

// String returns the line as text: time, entry, message and fields.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Entry, l.Message)
	for _, key := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.Fields[key]; v != "" {
			fmt.Fprintf(&b, " %s=%v", key, v)
		}
	}
	return b.String()
}
