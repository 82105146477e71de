package trace_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/decision/route"
	"jaylink/kernel"
	"jaylink/plugin/standard"
	"jaylink/trace"
)

// buffer is an in-memory io.WriteCloser.
type buffer struct{ bytes.Buffer }

func (*buffer) Close() error { return nil }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const objects = `
kind: Service
name: desk
spec: {selector: app=desk, protocol: http, upstreams: pool=desk, timeout: 10s, class: urgent}
---
kind: Customer
name: c
spec: {selector: account=c}
---
kind: Policy
name: lookups
spec: {selector: method=GET, idempotent: true}
---
kind: Upstream
name: u1
labels: {pool: desk}
spec: {address: "127.0.0.1:1", protocol: http, availability_zone: a, region: r, slots: 1, price_per_hour: 36}
---
kind: Upstream
name: u2
labels: {pool: desk}
spec: {address: "127.0.0.1:2", protocol: http, availability_zone: a, region: r, slots: 1, price_per_hour: 36}
`

func chainConfig(t *testing.T, ids []kernel.ModuleID) decision.Config {
	t.Helper()
	cfg, err := standard.Chain("a", "r", ids)
	require.NoError(t, err)
	return cfg
}

// recordTrace passes at least one event of each kind to a core and returns the trace.
func recordTrace(t *testing.T) string {
	t.Helper()
	sources, err := api.DecodeYAML("objects.yaml", []byte(objects))
	require.NoError(t, err)
	list := api.Objects(sources)
	out := &buffer{}
	recorder, err := trace.NewRecorder(out, trace.Header{Start: start, Zone: "a", Region: "r", Modules: []string{"filter.capacity"}})
	require.NoError(t, err)
	core := decision.New(chainConfig(t, standard.Order))
	step := func(at time.Duration, ev decision.Event) []decision.Action {
		actions := core.Step(start.Add(at), ev)
		recorder.Record(start.Add(at), ev, actions)
		return actions
	}
	labels := api.Labels{"app": "desk", "account": "c", "method": "GET"}
	step(0, decision.ConfigEvent{Catalog: api.NewCatalog(list)})
	step(0, decision.EntriesEvent{Live: 2})
	step(0, decision.UsageEvent{Peer: "b", InFlight: map[string]int{"c": 1}})
	step(0, decision.LoadEvent{Upstream: "u1", Load: route.Load{Running: 1, At: start}})
	step(0, decision.CacheEvent{Upstream: "u2", Report: route.CacheReport{Stored: []uint64{7}}})
	step(time.Second, decision.RequestEvent{ID: "1", Labels: labels, Key: "secret-key"})
	step(2*time.Second, decision.AttemptEvent{ID: "1", Attempt: 1, Upstream: "u2", Outcome: decision.OutcomeNoAnswer, Ran: reason.RanUnknown})
	step(3*time.Second, decision.LoadEvent{Upstream: "u1", Load: route.Load{At: start.Add(3 * time.Second)}})
	step(4*time.Second, decision.AttemptEvent{ID: "1", Attempt: 2, Upstream: "u1", Outcome: decision.OutcomeDone, Ran: reason.RanYes})
	step(4*time.Second, decision.RequestEvent{ID: "2", Labels: api.Labels{"app": "desk", "account": "c", "method": "POST"}, Key: "k"})
	step(4*time.Second, decision.ClaimEvent{ID: "2", Result: decision.ClaimHeld})
	step(5*time.Second, decision.LeavingEvent{Upstream: "u1", Leaving: true})
	step(5*time.Second, decision.TickEvent{})
	step(5*time.Second, decision.CrashEvent{})
	step(5*time.Second, decision.ReclaimEvent{Upstream: "u1", Deadline: start.Add(time.Minute)})
	step(5*time.Second, decision.MovedEvent{ID: "9", Attempt: 1})
	step(5*time.Second, decision.AdoptEvent{ID: "3", Labels: labels, Deadline: start.Add(time.Minute)})
	step(5*time.Second, decision.ReleaseEvent{ID: "3"})
	step(5*time.Second, decision.DrainEvent{})
	step(5*time.Second, decision.StopEvent{})
	require.NoError(t, recorder.Close())
	return out.String()
}

func TestRepeatReturnsTheRecordedActions(t *testing.T) {
	text := recordTrace(t)
	require.NotContains(t, text, "secret-key")
	tr, err := trace.Read(strings.NewReader(text))
	require.NoError(t, err)
	require.Len(t, tr.Events, 20)
	r := trace.Repeat(tr, chainConfig(t, standard.Order))
	require.Empty(t, r.Differences)
	require.Equal(t, 1, r.Answered)
	require.Equal(t, 3, r.Dispatches)
	require.Equal(t, 1, r.Refused[reason.KeyInProgress])
	// One second on u2 and one second on u1, at a price of 36 per hour. The
	// attempt of the released request does not end in the trace.
	require.InDelta(t, 2*36/3600.0, r.Cost, 1e-9)
}

func TestRepeatReportsDifferences(t *testing.T) {
	tr, err := trace.Read(strings.NewReader(strings.Replace(recordTrace(t), "dispatch 1 1 u2", "dispatch 1 1 u9", 1)))
	require.NoError(t, err)
	r := trace.Repeat(tr, chainConfig(t, standard.Order))
	require.Equal(t, []string{`event 6: recorded "dispatch 1 1 u9", returned "dispatch 1 1 u2"`}, r.Differences)
}

func TestReadErrorsNameTheLine(t *testing.T) {
	cases := map[string]string{
		"":                                      "line 1",
		"{":                                     "line 1",
		`{"version":9}`:                         "version 9",
		`{"version":1}` + "\n{":                 "line 2",
		`{"version":1}` + "\n" + `{"kind":"x"}`: `line 2: kind "x"`,
		`{"version":1}` + "\n" + `{"at":5,"kind":"tick","event":{}}` + "\n" + `{"at":4,"kind":"tick","event":{}}`: "line 3: time is earlier than that of the previous event",
	}
	for text, want := range cases {
		_, err := trace.Read(strings.NewReader(text))
		require.ErrorContains(t, err, want)
	}
}

func TestOutcomesCheckReportsMissedOutcomes(t *testing.T) {
	r := &trace.Result{
		Answered: 9, Dispatches: 12, Cost: 2, UrgentWait: time.Second,
		Refused: map[reason.Reason]int{reason.QueueFull: 1},
	}
	met := trace.Outcomes{
		Answered: 9, MaxDispatches: 12, MaxCost: 2, UrgentWait: api.Duration(time.Second),
		Refusals: map[reason.Reason]int{reason.QueueFull: 1, reason.TimedOut: 0},
	}
	require.Empty(t, met.Check(r))
	cases := map[string]trace.Outcomes{
		"answered":            {Answered: 10},
		"max_dispatches":      {MaxDispatches: 11},
		"max_cost":            {MaxCost: 1},
		"urgent_wait":         {UrgentWait: api.Duration(time.Millisecond)},
		"refusals.queue_full": {Refusals: map[reason.Reason]int{reason.QueueFull: 0}},
	}
	for name, o := range cases {
		missed := o.Check(r)
		require.Len(t, missed, 1, name)
		require.Contains(t, missed[0], name)
	}
}

// Each trace in examples/traces must meet the outcomes in the YAML file of the same name.
func TestRecordedTracesMeetTheirOutcomes(t *testing.T) {
	for _, name := range []string{"parikh-smriti", "forbund"} {
		t.Run(name, func(t *testing.T) {
			base := "../examples/traces/" + name
			in, err := os.Open(base + ".jsonl")
			require.NoError(t, err)
			defer in.Close()
			tr, err := trace.Read(in)
			require.NoError(t, err)
			want, err := trace.ReadOutcomes(base + ".yaml")
			require.NoError(t, err)
			r := trace.Resimulate(tr, chainConfig(t, standard.Order))
			require.Empty(t, want.Check(r), fmt.Sprintf("%+v", r))
			require.Equal(t, r, trace.Resimulate(tr, chainConfig(t, standard.Order)), "a replay is deterministic")
		})
	}
}
