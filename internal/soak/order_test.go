package soak

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/standin/upstream"
)

// The check of streams sees events that are missing, repeated or of another run.
func TestJoinsOfTwoRunsAreSeen(t *testing.T) {
	runs := map[string]upstream.Run{
		"i-1/0": {RequestID: "r", Resumed: -1},
		"i-2/0": {RequestID: "r", Resumed: 1},
		"i-2/1": {RequestID: "r", Resumed: 2},
		"i-3/0": {RequestID: "r", Resumed: -1},
		"i-3/1": {RequestID: "other", Resumed: -1},
	}
	for _, gapped := range []bool{false, true} {
		events := func(run string, from, to int) string {
			var b strings.Builder
			for n := from; n < to; n++ {
				b.WriteString(upstream.NamedEvent(n, run, gapped))
			}
			return b.String()
		}
		const end = upstream.Events
		cases := map[string]struct {
			body                string
			resumable, complete bool
			sound               bool
		}{
			"one run":                          {events("i-1/0", 0, end), false, true, true},
			"one run, cut between events":      {events("i-1/0", 0, 2), false, false, true},
			"one run, cut in an event":         {events("i-1/0", 0, 2) + events("i-1/0", 2, 3)[:9], false, false, true},
			"cut in the name of its run":       {events("i-1/0", 0, 1) + strings.TrimSuffix(events("i-1/0", 1, 2), "/0\n\n"), false, false, true},
			"cut before the blank line":        {events("i-1/0", 0, 1) + strings.TrimSuffix(events("i-1/0", 1, 2), "\n"), false, false, true},
			"nothing, broken off":              {"", false, false, true},
			"nothing, complete":                {"", false, true, false},
			"resumed after its last event":     {events("i-1/0", 0, 2) + events("i-2/0", 2, end), true, true, true},
			"may not be resumed":               {events("i-1/0", 0, 2) + events("i-2/0", 2, end), false, true, false},
			"resumed after a later event":      {events("i-1/0", 0, 2) + events("i-2/1", 2, end), true, true, false},
			"joined with a run from event 0":   {events("i-1/0", 0, 2) + events("i-3/0", 2, end), true, true, false},
			"goes back to the first run":       {events("i-1/0", 0, 2) + events("i-2/0", 2, 3) + events("i-1/0", 3, end), true, true, false},
			"run of another request":           {events("i-3/1", 0, end), true, true, false},
			"unknown run":                      {events("i-9/9", 0, end), true, true, false},
			"event missing":                    {events("i-1/0", 0, 2) + events("i-1/0", 3, end), true, true, false},
			"event missing, broken off":        {events("i-1/0", 0, 2) + events("i-1/0", 3, 4), true, false, false},
			"event repeated":                   {events("i-1/0", 0, 2) + events("i-1/0", 1, end), true, true, false},
			"first event missing":              {events("i-1/0", 1, end), true, true, false},
			"complete before its last":         {events("i-1/0", 0, end-1), true, true, false},
			"complete in the last event":       {strings.TrimSuffix(events("i-1/0", 0, end), "\n"), true, true, false},
			"more than its events":             {events("i-1/0", 0, end+1), true, true, false},
			"ends in other bytes":              {events("i-1/0", 0, 2) + "HTTP/1.1", true, false, false},
			"ends in another event's bytes":    {events("i-1/0", 0, 2) + events("i-1/0", 3, 4)[:9], true, false, false},
			"all events, then another's start": {events("i-1/0", 0, end) + "id: ", true, false, false},
			"all events, then more bytes":      {events("i-1/0", 0, end) + "x", true, false, false},
		}
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				problem := streamRules{gapped: gapped, resumable: c.resumable, runs: runs}.check(c.body, "r", c.complete)
				require.Equal(t, c.sound, problem == "", "gapped: %t, problem: %s", gapped, problem)
			})
		}
	}
}
