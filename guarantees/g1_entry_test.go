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
	reclaimCallers = 12
	reclaimTokens  = 400
	// answerTimeout bounds one answer; a healthy run comes nowhere near it.
	answerTimeout = time.Minute
)

// reclaimFleet has three availability zones in two regions, each with two
// entries and an engine.
type reclaimFleet struct {
	*testfleet.Fleet
	t *testing.T
	// prompt begins the prompt of each caller.
	prompt string
}

var reclaimZones = []struct{ zone, region string }{{"a", "r"}, {"b", "r"}, {"c", "s"}}

func newReclaimFleet(t *testing.T, settings string) *reclaimFleet {
	return newRelayedFleet(t, settings, false)
}

// newRelayedFleet is newReclaimFleet; with relayed set, zones can be cut off.
func newRelayedFleet(t *testing.T, settings string, relayed bool) *reclaimFleet {
	f := &reclaimFleet{Fleet: testfleet.New(t), t: t}
	f.Relayed = relayed
	for _, z := range reclaimZones {
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

// addresses returns the caller addresses, that of one entry first.
func (f *reclaimFleet) addresses(first string) []string {
	out := []string{f.Entries[first].Caller}
	for name, e := range f.Entries {
		if name != first {
			out = append(out, e.Caller)
		}
	}
	return out
}

type outcome struct {
	prompt string
	answer caller.Answer
	err    error
}

// start sends completions through an entry, streams and plain calls in turn.
func (f *reclaimFleet) start(first string) <-chan outcome {
	out := make(chan outcome, reclaimCallers)
	header := http.Header{"Jaylink-Label-App": {"captions"}, "Jaylink-Label-Account": {"desai"}}
	for i := range reclaimCallers {
		go func() {
			ctx, cancel := context.WithTimeout(f.t.Context(), answerTimeout)
			defer cancel()
			prompt := fmt.Sprintf("%d દીપ %s", i, f.prompt)
			client := caller.New(f.addresses(first), header)
			answer, err := client.Complete(ctx, upstream.Completion{Prompt: prompt, MaxTokens: reclaimTokens, Stream: i%2 == 0})
			out <- outcome{prompt, answer, err}
		}()
	}
	require.NoError(f.t, procs.Await("the requests in flight", func() bool {
		return f.counter(first, "request.accepted") == reclaimCallers
	}))
	return out
}

// violations compares each answer with the one of an undisturbed run. A request
// that was sent again was lost.
func (f *reclaimFleet) violations(results <-chan outcome) int {
	n := 0
	for range reclaimCallers {
		r := <-results
		if r.err != nil || r.answer.Text != standinengine.Text(r.prompt, reclaimTokens) || r.answer.Sent != 1 {
			f.t.Logf("%q: sent %d times, %d bytes, id %s, err %v", r.prompt, r.answer.Sent, len(r.answer.Text), r.answer.ID, r.err)
			n++
		}
	}
	return n
}

// driveLine matches the log lines that say from when and until when an entry
// drove a request.
var driveLine = regexp.MustCompile(`time=(\S+) .*msg="(request accepted|attempt failed|request answered)" .*request_id=(\S+)`)

// overlaps counts requests that one entry went on driving after another one had
// begun, by the logs of the entries.
func (f *reclaimFleet) overlaps() int {
	type span struct{ began, ended time.Time }
	spans := map[string][]span{}
	for _, e := range f.Entries {
		mine := map[string]*span{}
		for _, m := range driveLine.FindAllStringSubmatch(e.Log(), -1) {
			at, err := time.Parse(time.RFC3339Nano, m[1])
			require.NoError(f.t, err)
			if m[2] == "request accepted" {
				mine[m[3]] = &span{began: at, ended: at}
			} else {
				mine[m[3]].ended = at
			}
		}
		for id, s := range mine {
			spans[id] = append(spans[id], *s)
		}
	}
	require.NotEmpty(f.t, spans)
	n := 0
	for id, list := range spans {
		slices.SortFunc(list, func(a, b span) int { return a.began.Compare(b.began) })
		for i := 1; i < len(list); i++ {
			if list[i].began.Before(list[i-1].ended) {
				f.t.Logf("entries drove %s at the same time: %v", id, list)
				n++
			}
		}
	}
	return n
}

func (f *reclaimFleet) notice(host string, in time.Duration) {
	f.Post("http://"+f.Platform+"/v1/notices", hosting.Notice{Host: host, Deadline: time.Now().Add(in)})
}

// counter reads a counter of an entry; 0 if it can't be read.
func (f *reclaimFleet) counter(entry, name string) int {
	m, err := testfleet.Metrics(f.Entries[entry])
	if err != nil {
		return 0
	}
	return m[name]
}

// awaitCount waits until a counter of an entry has reached a number, or the entry
// has nothing in flight any more: on a slow machine requests may end first.
func (f *reclaimFleet) awaitCount(entry, name string, n int) {
	require.NoError(f.t, procs.Await(name+" on "+entry, func() bool {
		return f.counter(entry, name) >= n || f.idle(entry)
	}))
}

// idle reports whether an entry had requests and has none in flight.
func (f *reclaimFleet) idle(entry string) bool {
	s, err := f.Entries[entry].Client().Status(f.t.Context())
	return err == nil && s.InFlight == 0 && f.counter(entry, "request.accepted") > 0
}

func (f *reclaimFleet) kill(names ...string) {
	for _, name := range names {
		f.Entries[name].Kill()
	}
}

const longDrain = "drain: {leave_delay: 50ms, timeout: 1m}"

// Requests in flight on an entry that is reclaimed are answered whole, each by
// one owner at a time.
func TestEntryReclaim(t *testing.T) {
	cases := []struct {
		fault   string
		disturb func(f *reclaimFleet)
	}{
		{"entry_reclaimed", func(f *reclaimFleet) {
			f.notice("a1", time.Second)
			f.awaitIdle("a1")
			f.kill("a1")
		}},
		{"entry_sigterm_short_drain", func(f *reclaimFleet) {
			require.NoError(f.t, f.Entries["a1"].Signal(syscall.SIGTERM))
			<-f.Entries["a1"].Done()
		}},
		{"zone_reclaimed", func(f *reclaimFleet) {
			for _, host := range []string{"a1", "a2", "engine-a"} {
				f.notice(host, 2*time.Second)
			}
			f.awaitIdle("a1")
			f.awaitIdle("a2")
			f.kill("a1", "a2")
			f.Nodes["engine-a"].Kill()
		}},
		{"zone_killed_in_the_middle_of_its_reclaim", func(f *reclaimFleet) {
			for _, host := range []string{"a1", "a2", "engine-a"} {
				f.notice(host, time.Hour)
			}
			f.awaitCount("a1", "handover.copied", 2*reclaimCallers)
			f.kill("a1", "a2")
			f.Nodes["engine-a"].Kill()
		}},
		{"killed_once_copies_are_stored", func(f *reclaimFleet) {
			f.notice("a1", time.Hour)
			f.awaitCount("a1", "handover.copied", 2*reclaimCallers)
			f.kill("a1")
		}},
		{"killed_in_the_middle_of_the_handover", func(f *reclaimFleet) {
			f.notice("a1", time.Second)
			f.awaitCount("a1", "handover.moved", 1)
			f.kill("a1")
		}},
		{"primary_killed_too", func(f *reclaimFleet) {
			f.notice("a1", time.Hour)
			f.awaitCount("a1", "handover.copied", 2*reclaimCallers)
			f.kill("a2", "a1")
		}},
		{"primary_killed_after_it_took_over", func(f *reclaimFleet) {
			f.notice("a1", time.Second)
			f.awaitCount("a1", "handover.moved", reclaimCallers)
			f.kill("a1", "a2")
		}},
		{"replacement_hosts_refused", func(f *reclaimFleet) {
			f.PlatformFaults(platformstandin.Faults{RefuseHosts: true})
			f.notice("a1", time.Second)
			f.awaitIdle("a1")
			f.kill("a1")
		}},
		{"store_out", func(f *reclaimFleet) {
			f.PlatformFaults(platformstandin.Faults{Outage: true})
			require.NoError(f.t, f.Entries["a1"].Signal(syscall.SIGTERM))
			<-f.Entries["a1"].Done()
		}},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			f := newReclaimFleet(t, "drain: {leave_delay: 50ms, timeout: 1s}")
			results := f.start("a1")
			c.disturb(f)
			violations := f.violations(results) + f.overlaps()
			testfleet.Report(t, testfleet.Guarantee{Number: 1, Fault: c.fault, Cases: reclaimCallers, Violations: violations})
		})
	}
}

// awaitIdle waits until an entry drives no request.
func (f *reclaimFleet) awaitIdle(name string) {
	require.NoError(f.t, procs.Await(name+" to be idle", func() bool {
		s, err := f.Entries[name].Client().Status(f.t.Context())
		return err == nil && s.InFlight == 0
	}))
}

// An owner that is frozen in the middle of a reclaim and wakes after its
// requests were taken over stops driving them.
func TestFrozenOwnerWakes(t *testing.T) {
	f := newReclaimFleet(t, longDrain)
	results := f.start("a1")
	f.notice("a1", time.Hour)
	f.awaitCount("a1", "handover.copied", 2*reclaimCallers)
	require.NoError(t, f.Entries["a1"].Signal(syscall.SIGSTOP))
	f.awaitCount("a2", "handover.taken_over", 1)
	require.NoError(t, f.Entries["a1"].Signal(syscall.SIGCONT))
	violations := f.violations(results)
	f.awaitIdle("a1")
	testfleet.Report(t, testfleet.Guarantee{Number: 1, Fault: "owner_frozen_and_woken", Cases: reclaimCallers, Violations: violations})
}

// A zone that is cut off from the others in the middle of its reclaim: holders
// in other zones take over what they can no longer hear of. Owner and holder may
// both drive a request for that time; each caller gets one whole answer.
func TestZoneCutOffDuringReclaim(t *testing.T) {
	cases := []struct {
		fault string
		after func(f *reclaimFleet)
	}{
		{"zone_cut_off_then_killed", func(f *reclaimFleet) { f.kill("a1", "a2") }},
		{"zone_cut_off_then_healed", func(f *reclaimFleet) {
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
			f.awaitCount("a1", "handover.copied", 2*reclaimCallers)
			f.CutZone("a")
			require.NoError(t, procs.Await("a takeover", func() bool {
				return f.counter("b1", "handover.taken_over")+f.counter("b2", "handover.taken_over") > 0
			}))
			c.after(f)
			testfleet.Report(t, testfleet.Guarantee{
				Number: 1, Fault: c.fault, Cases: reclaimCallers, Violations: f.violations(results),
			})
		})
	}
}
