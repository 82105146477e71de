package timeline

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const logs = `  8.1 e1 {"time":"2026-01-01T10:00:00Z","level":"INFO","msg":"configuration in force","entry":"e1","version":4}
{"time":"2026-01-01T10:00:05Z","level":"INFO","msg":"stream broken","entry":"e1","request_id":"r1","upstream":"u1","reason":"stream_broken"}
{"time":"2026-01-01T10:00:05.1Z","level":"INFO","msg":"request","entry":"e1","request_id":"r1","outcome":"failed","upstream":"u1"}
{"time":"2026-01-01T10:00:05.2Z","level":"INFO","msg":"stream broken","entry":"e2","request_id":"r2","upstream":"u1"}
{"time":"2026-01-01T10:00:04.2Z","level":"INFO","msg":"request","entry":"e2","request_id":"r3","outcome":"answered","upstream":"u1"}
{"time":"2026-01-01T10:00:06Z","level":"INFO","msg":"upstream gone","entry":"e2","upstream":"u1"}
{"time":"2026-01-01T10:00:04Z","level":"WARN","msg":"dependency lost","entry":"e1","dependency":"store.config"}
{"time":"2026-01-01T10:00:04Z","level":"WARN","msg":"dependency lost","entry":"e2","dependency":"store.config"}
{"time":"2026-01-01T10:00:30Z","level":"INFO","msg":"upstreams ordered","entry":"e2","zone":"z","count":3}
not a log line
{"time":"soon","msg":"x"}
`

func messages(lines []Line) []string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Entry+" "+l.Message)
	}
	return out
}

func TestExplain(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(logs))
	require.NoError(t, err)
	require.Equal(t, 2, skipped)
	cases := map[string]struct {
		query Query
		want  []string
	}{
		"a request, the state of its entry and other lines about its upstream": {
			Query{RequestID: "r1"},
			[]string{"e1 dependency lost", "e1 stream broken", "e1 request", "e2 stream broken", "e2 upstream gone"},
		},
		"an upstream":     {Query{Upstream: "u1"}, []string{"e1 stream broken", "e1 request", "e2 stream broken", "e2 upstream gone"}},
		"a version":       {Query{Version: 4}, []string{"e1 configuration in force"}},
		"duties":          {Query{Duties: true}, []string{"e2 upstreams ordered"}},
		"unknown request": {Query{RequestID: "r9"}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, messages(Explain(lines, c.query)))
		})
	}
	require.Equal(t, `10:00:05.000 e1 stream broken reason=stream_broken request_id=r1 upstream=u1`, Explain(lines, Query{RequestID: "r1"})[1].String())
}

const limitLogs = `{"time":"2026-01-01T10:00:00Z","level":"INFO","msg":"upstream changed its limit","entry":"e1","upstream":"u1","limit":"4"}
{"time":"2026-01-01T10:00:00.5Z","level":"INFO","msg":"upstream changed its limit","entry":"e1","upstream":"u2","limit":"2"}
{"time":"2026-01-01T10:00:01Z","level":"INFO","msg":"upstream changed its limit","entry":"e1","upstream":"u1","limit":"1"}
{"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"upstream changed its limit","entry":"e1","upstream":"u2","limit":"none"}
{"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"upstream changed its limit","entry":"e2","upstream":"u1","limit":"1"}
{"time":"2026-01-01T10:01:00Z","level":"INFO","msg":"request","entry":"e1","request_id":"r1","outcome":"refused","reason":"upstreams_limited"}
{"time":"2026-01-01T10:01:00Z","level":"INFO","msg":"request","entry":"e1","request_id":"r2","outcome":"refused","reason":"queue_full"}
{"time":"2026-01-01T10:01:30Z","level":"INFO","msg":"upstream changed its limit","entry":"e1","upstream":"u1","limit":"9"}
`

// A refusal because of limits is explained by the limits in force at its entry then,
// however long before they were stated.
func TestExplainNamesTheLimitsThatRefused(t *testing.T) {
	lines, _, err := Read(strings.NewReader(limitLogs))
	require.NoError(t, err)
	explained := Explain(lines, Query{RequestID: "r1"})
	require.Equal(t, []string{"e1 upstream changed its limit", "e1 request"}, messages(explained))
	require.Equal(t, "1", explained[0].Fields["limit"])
	require.Equal(t, []string{"e1 request"}, messages(Explain(lines, Query{RequestID: "r2"})))
}

const partLogs = `{"time":"2026-01-01T10:00:00Z","level":"WARN","msg":"verdict on a part","entry":"e2","part":"dd","crashes":4,"upstreams":["u1","u2"],"source":"e2"}
{"time":"2026-01-01T10:00:00.1Z","level":"WARN","msg":"verdict on a part","entry":"e1","part":"dd","source":"e2"}
{"time":"2026-01-01T10:00:01Z","level":"WARN","msg":"verdict on a part","entry":"e1","part":"ee","source":"e1"}
{"time":"2026-01-01T10:05:00Z","level":"INFO","msg":"request","entry":"e1","request_id":"r1","outcome":"refused","reason":"poison_part","part":"dd"}
`

// A refusal because of a part of the prompt is explained by the verdicts on it, at the
// entry that passed it too.
func TestExplainNamesTheCrashesOfAPart(t *testing.T) {
	lines, _, err := Read(strings.NewReader(partLogs))
	require.NoError(t, err)
	explained := Explain(lines, Query{RequestID: "r1"})
	require.Equal(t, []string{"e2 verdict on a part", "e1 verdict on a part", "e1 request"}, messages(explained))
	require.EqualValues(t, 4, explained[0].Fields["crashes"])
}

const restoreLogs = `{"time":"2026-01-01T10:00:00Z","level":"INFO","msg":"upstream","entry":"e1","upstream":"u1","era":1,"revision":106}
{"time":"2026-01-01T10:00:01Z","level":"WARN","msg":"store came back from an older copy","entry":"e1","era":2,"before":1}
{"time":"2026-01-01T10:00:02Z","level":"INFO","msg":"upstream gone","entry":"e1","upstream":"u1","era":2,"revision":85}
{"time":"2026-01-01T10:00:03Z","level":"INFO","msg":"configuration in force","entry":"e1","version":7}
{"time":"2026-01-01T10:00:03.1Z","level":"INFO","msg":"request","entry":"e1","request_id":"r1","outcome":"failed"}
`

// What was believed before and after a restore of the store is told apart by its era.
func TestExplainNamesTheEra(t *testing.T) {
	lines, _, err := Read(strings.NewReader(restoreLogs))
	require.NoError(t, err)
	const restored = "e1 store came back from an older copy"
	for _, c := range []struct {
		query Query
		want  []string
	}{
		{Query{Upstream: "u1"}, []string{"e1 upstream", restored, "e1 upstream gone"}},
		{Query{Version: 7}, []string{restored, "e1 configuration in force"}},
		{Query{Duties: true}, []string{restored}},
		{Query{RequestID: "r1"}, []string{restored, "e1 configuration in force", "e1 request"}},
	} {
		require.Equal(t, c.want, messages(Explain(lines, c.query)))
	}
	require.Contains(t, Explain(lines, Query{Upstream: "u1"})[2].String(), "era=2 revision=85")
}
