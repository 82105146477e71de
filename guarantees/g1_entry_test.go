package guarantees

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/hosting"
	"jaylink/internal/caller"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	standinengine "jaylink/standin/engine"
	platformstandin "jaylink/standin/hosting"
	"jaylink/upstream"
)

const (
	callerCount  = 12
	answerTokens = 400
	// answerTimeout bounds one answer. It is far above the time of a run without
	// faults.
	answerTimeout = time.Minute
)

// completionFleet is a fleet whose test callers send completions.
type completionFleet struct {
	*testfleet.Fleet
	t *testing.T
	// prompt is part of the prompt of each caller.
	prompt string
}

var fleetZones = []struct{ zone, region string }{{"a", "r"}, {"b", "r"}, {"c", "s"}}

// newMultiZoneFleet starts three availability zones in two regions, each with two
// entries and an engine.
func newMultiZoneFleet(t *testing.T, settings string) *completionFleet {
	return newRelayedFleet(t, settings, false)
}

// newRelayedFleet is newMultiZoneFleet with the option to relay the connections
// between entries, so that CutZone can partition a zone.
func newRelayedFleet(t *testing.T, settings string, relayed bool) *completionFleet {
	f := &completionFleet{Fleet: testfleet.New(t), t: t}
	f.Relayed = relayed
	for _, z := range fleetZones {
		f.Upstream("engine", "caption-lm", "engine-"+z.zone, z.zone, z.region, "--slots", "64")
		for i := 1; i <= 2; i++ {
			f.StartEntry(fmt.Sprintf("%s%d", z.zone, i), z.zone, z.region, settings)
		}
	}
	f.Ready()
	f.Apply(f.Entries["a1"], captionObjects)
	for _, e := range f.Entries {
		require.NoError(t, procs.Await("the peers of "+e.Name, func() bool {
			s, err := e.Client().Status(t.Context())
			return err == nil && len(s.Peers) == len(f.Entries)-1
		}))
	}
	return f
}

// addresses returns the caller addresses of all entries, starting with the named
// entry.
func (f *completionFleet) addresses(first string) []string {
	out := []string{f.Entries[first].Caller}
	for name, e := range f.Entries {
		if name != first {
			out = append(out, e.Caller)
		}
	}
	return out
}

// outcome is the result of one completion.
type outcome struct {
	prompt string
	answer caller.Answer
	err    error
}

// start sends callerCount completions through an entry, alternating streams and
// plain calls, and returns once the entry has accepted all of them.
func (f *completionFleet) start(first string) <-chan outcome {
	out := make(chan outcome, callerCount)
	header := http.Header{"Jaylink-Label-App": {"captions"}, "Jaylink-Label-Account": {"desai"}}
	for i := range callerCount {
		go func() {
			ctx, cancel := context.WithTimeout(f.t.Context(), answerTimeout)
			defer cancel()
			prompt := fmt.Sprintf("%d દીપ %s", i, f.prompt)
			client := caller.New(f.addresses(first), header)
			answer, err := client.Complete(ctx, upstream.Completion{Prompt: prompt, MaxTokens: answerTokens, Stream: i%2 == 0})
			out <- outcome{prompt, answer, err}
		}()
	}
	require.NoError(f.t, procs.Await("the requests in flight", func() bool {
		return f.counter(first, "request.accepted") == callerCount
	}))
	return out
}

// countViolations compares each answer with that of a run without faults. A request
// that its caller had to send again counts as lost.
func (f *completionFleet) countViolations(results <-chan outcome) int {
	n := 0
	for range callerCount {
		r := <-results
		if r.err != nil || r.answer.Text != standinengine.Text(r.prompt, answerTokens) || r.answer.Sent != 1 {
			f.t.Logf("%q: sent %d times, %d bytes, id %s, err %v", r.prompt, r.answer.Sent, len(r.answer.Text), r.answer.ID, r.err)
			n++
		}
	}
	return n
}

// ownershipLine matches the log lines that mark the start and the end of the time
// in which an entry owned a request.
var ownershipLine = regexp.MustCompile(`time=(\S+) .*msg="(request accepted|attempt failed|request answered)" .*request_id=(\S+)`)

// countOverlaps counts, from the logs of the entries, how often an entry still owned
// a request after another entry had taken ownership.
func (f *completionFleet) countOverlaps() int {
	type span struct{ began, ended time.Time }
	spans := map[string][]span{}
	for _, e := range f.Entries {
		own := map[string]*span{}
		for _, m := range ownershipLine.FindAllStringSubmatch(e.Log(), -1) {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			require.NoError(f.t, err)
			if m[2] == "request accepted" {
				own[m[3]] = &span{began: at, ended: at}
			} else {
				own[m[3]].ended = at
			}
		}
		for id, s := range own {
			spans[id] = append(spans[id], *s)
		}
	}
	require.NotEmpty(f.t, spans)
	n := 0
	for id, list := range spans {
		slices.SortFunc(list, func(a, b span) int { return a.began.Compare(b.began) })
		for i := 1; i < len(list); i++ {
			if list[i].began.Before(list[i-1].ended) {
				f.t.Logf("entries owned %s at the same time: %v", id, list)
				n++
			}
		}
	}
	return n
}

func (f *completionFleet) notice(host string, in time.Duration) {
	f.Post("http://"+f.Platform+"/v1/notices", hosting.Notice{Host: host, Deadline: time.Now().Add(in)})
}

// counter reads a counter of an entry. It returns 0 if the entry can't be reached.
func (f *completionFleet) counter(entry, name string) int {
	m, err := testfleet.Metrics(f.Entries[entry])
	if err != nil {
		return 0
	}
	return m[name]
}

// awaitCounter waits until a counter of an entry has reached n, or the entry has no
// request in flight any more: on a slow machine the requests may end before the
// counter gets there.
func (f *completionFleet) awaitCounter(entry, name string, n int) {
	require.NoError(f.t, procs.Await(name+" on "+entry, func() bool {
		return f.counter(entry, name) >= n || f.idle(entry)
	}))
}

// idle reports whether an entry has accepted requests and has none in flight.
func (f *completionFleet) idle(entry string) bool {
	s, err := f.Entries[entry].Client().Status(f.t.Context())
	return err == nil && s.InFlight == 0 && f.counter(entry, "request.accepted") > 0
}

func (f *completionFleet) kill(names ...string) {
	for _, name := range names {
		f.Entries[name].Kill()
	}
}

const longDrain = "drain: {leave_delay: 50ms, timeout: 1m}"

// Requests in flight on an entry that is reclaimed get complete answers, and each
// has at most one owner at a time.
func TestEntryReclaim(t *testing.T) {
	cases := []struct {
		fault  string
		inject func(f *completionFleet)
	}{
		{"entry_reclaimed", func(f *completionFleet) {
			f.notice("a1", time.Second)
			f.awaitIdle("a1")
			f.kill("a1")
		}},
		{"entry_sigterm_short_drain", func(f *completionFleet) {
			require.NoError(f.t, f.Entries["a1"].Signal(syscall.SIGTERM))
			<-f.Entries["a1"].Done()
		}},
		{"zone_reclaimed", func(f *completionFleet) {
			for _, host := range []string{"a1", "a2", "engine-a"} {
				f.notice(host, 2*time.Second)
			}
			f.awaitIdle("a1")
			f.awaitIdle("a2")
			f.kill("a1", "a2")
			f.Nodes["engine-a"].Kill()
		}},
		{"zone_killed_in_the_middle_of_its_reclaim", func(f *completionFleet) {
			for _, host := range []string{"a1", "a2", "engine-a"} {
				f.notice(host, time.Hour)
			}
			f.awaitCounter("a1", "handover.copied", 2*callerCount)
			f.kill("a1", "a2")
			f.Nodes["engine-a"].Kill()
		}},
		{"killed_once_copies_are_stored", func(f *completionFleet) {
			f.notice("a1", time.Hour)
			f.awaitCounter("a1", "handover.copied", 2*callerCount)
			f.kill("a1")
		}},
		{"killed_in_the_middle_of_the_handover", func(f *completionFleet) {
			f.notice("a1", time.Second)
			f.awaitCounter("a1", "handover.moved", 1)
			f.kill("a1")
		}},
		{"primary_killed_too", func(f *completionFleet) {
			f.notice("a1", time.Hour)
			f.awaitCounter("a1", "handover.copied", 2*callerCount)
			f.kill("a2", "a1")
		}},
		{"primary_killed_after_it_took_over", func(f *completionFleet) {
			f.notice("a1", time.Second)
			f.awaitCounter("a1", "handover.moved", callerCount)
			f.kill("a1", "a2")
		}},
		{"replacement_hosts_refused", func(f *completionFleet) {
			f.SetPlatformFaults(platformstandin.Faults{RefuseHosts: true})
			f.notice("a1", time.Second)
			f.awaitIdle("a1")
			f.kill("a1")
		}},
		{"store_out", func(f *completionFleet) {
			f.SetPlatformFaults(platformstandin.Faults{Outage: true})
			require.NoError(f.t, f.Entries["a1"].Signal(syscall.SIGTERM))
			<-f.Entries["a1"].Done()
		}},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			f := newMultiZoneFleet(t, "drain: {leave_delay: 50ms, timeout: 1s}")
			results := f.start("a1")
			c.inject(f)
			violations := f.countViolations(results) + f.countOverlaps()
			testfleet.Report(t, testfleet.Guarantee{Number: 1, Fault: c.fault, Cases: callerCount, Violations: violations})
		})
	}
}

// awaitIdle waits until an entry has no request in flight.
func (f *completionFleet) awaitIdle(name string) {
	require.NoError(f.t, procs.Await(name+" to be idle", func() bool {
		s, err := f.Entries[name].Client().Status(f.t.Context())
		return err == nil && s.InFlight == 0
	}))
}

// An owner that is stopped with SIGSTOP during a reclaim, and continued after other
// entries took over its requests, gives up the requests.
func TestFrozenOwnerWakes(t *testing.T) {
	f := newMultiZoneFleet(t, longDrain)
	results := f.start("a1")
	f.notice("a1", time.Hour)
	f.awaitCounter("a1", "handover.copied", 2*callerCount)
	require.NoError(t, f.Entries["a1"].Signal(syscall.SIGSTOP))
	f.awaitCounter("a2", "handover.taken_over", 1)
	require.NoError(t, f.Entries["a1"].Signal(syscall.SIGCONT))
	violations := f.countViolations(results)
	f.awaitIdle("a1")
	testfleet.Report(t, testfleet.Guarantee{Number: 1, Fault: "owner_frozen_and_woken", Cases: callerCount, Violations: violations})
}

// A zone is partitioned from the others during its reclaim. Holders in other zones
// take over the requests whose owner they no longer hear from. The owner and the
// holder may both run a request until the partition ends, but each caller gets one
// complete answer.
func TestZoneCutOffDuringReclaim(t *testing.T) {
	cases := []struct {
		fault string
		after func(f *completionFleet)
	}{
		{"zone_cut_off_then_killed", func(f *completionFleet) { f.kill("a1", "a2") }},
		{"zone_cut_off_then_healed", func(f *completionFleet) {
			f.HealZones()
			f.awaitIdle("a1")
		}},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			f := newRelayedFleet(t, longDrain, true)
			results := f.start("a1")
			f.notice("a1", time.Hour)
			f.awaitCounter("a1", "handover.copied", 2*callerCount)
			f.CutZone("a")
			require.NoError(t, procs.Await("a takeover", func() bool {
				return f.counter("b1", "handover.taken_over")+f.counter("b2", "handover.taken_over") > 0
			}))
			c.after(f)
			testfleet.Report(t, testfleet.Guarantee{
				Number: 1, Fault: c.fault, Cases: callerCount, Violations: f.countViolations(results),
			})
		})
	}
}
