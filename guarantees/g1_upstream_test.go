package guarantees

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
)

// newUpstreamFleet starts one entry and two engines in each of two availability
// zones.
func newUpstreamFleet(t *testing.T, engineArgs ...string) *completionFleet {
	f := &completionFleet{Fleet: testfleet.New(t), t: t}
	engineArgs = append([]string{"--prefill", "20us"}, engineArgs...)
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		f.Upstream("engine", "caption-lm", name, name[:1], "r", engineArgs...)
	}
	e := f.StartEntry("one", "a", "r", longDrain)
	f.Ready()
	f.Apply(e, captionObjects)
	return f
}

// runsOf returns the runs of the named engines by request ID.
func (f *completionFleet) runsOf(names ...string) map[string][]engine.Run {
	out := map[string][]engine.Run{}
	for _, name := range names {
		var list []engine.Run
		f.Read("http://"+f.Nodes[name].Address+"/runs", &list)
		for _, r := range list {
			out[r.Request()] = append(out[r.Request()], r)
		}
	}
	return out
}

// awaitTokens waits until each stream on the engines has n tokens.
func (f *completionFleet) awaitTokens(n int, names ...string) {
	require.NoError(f.t, procs.Await("tokens of every stream", func() bool {
		for _, runs := range f.runsOf(names...) {
			if runs[0].Generated < n {
				return false
			}
		}
		return true
	}))
}

// awaitMoves waits until the entry has moved every stream off the engines.
func (f *completionFleet) awaitMoves(names ...string) {
	n := 0
	for _, runs := range f.runsOf(names...) {
		n += len(runs)
	}
	f.awaitCounter("one", "request.retried.upstream_leaving", n)
}

// Streams on reclaimed upstreams get complete answers.
func TestUpstreamReclaim(t *testing.T) {
	cases := []struct {
		fault  string
		inject func(f *completionFleet)
	}{
		{"upstream_reclaimed", func(f *completionFleet) {
			f.notice("a1", 1500*time.Millisecond)
			f.awaitMoves("a1")
			f.Nodes["a1"].Kill()
		}},
		{"upstream_zone_reclaimed", func(f *completionFleet) {
			f.notice("a1", time.Second)
			f.notice("a2", time.Second)
			f.awaitMoves("a1", "a2")
			f.Nodes["a1"].Kill()
			f.Nodes["a2"].Kill()
		}},
		{"kv_transfer_refused", func(f *completionFleet) {
			f.Put("http://"+f.Nodes["b1"].Address+"/faults", engine.Faults{RefuseKV: true})
			f.Put("http://"+f.Nodes["b2"].Address+"/faults", engine.Faults{RefuseKV: true})
			f.notice("a1", time.Second)
			f.notice("a2", time.Second)
			f.awaitMoves("a1", "a2")
			f.Nodes["a1"].Kill()
			f.Nodes["a2"].Kill()
		}},
		{"upstream_killed_at_its_notice", func(f *completionFleet) {
			f.notice("a1", time.Hour)
			f.Nodes["a1"].Kill()
		}},
		{"upstream_frozen_then_woken", func(f *completionFleet) {
			_ = f.Nodes["a1"].Signal(syscall.SIGSTOP)
			f.notice("a1", time.Second)
			f.awaitCounter("one", "request.retried.upstream_leaving", 1)
			_ = f.Nodes["a1"].Signal(syscall.SIGCONT)
		}},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			f := newUpstreamFleet(t)
			results := f.start("one")
			c.inject(f)
			testfleet.Report(t, testfleet.Guarantee{
				Number: 1, Fault: c.fault, Cases: callerCount, Violations: f.countViolations(results),
			})
		})
	}
}

// awaitRunsElsewhere waits until every stream of the engines a1 and a2 also has a run
// on another engine. It returns the runs of a1 and a2, and those of all engines.
func (f *completionFleet) awaitRunsElsewhere() (first, all map[string][]engine.Run) {
	require.NoError(f.t, procs.Await("the streams elsewhere", func() bool {
		first, all = f.runsOf("a1", "a2"), f.runsOf("a1", "a2", "b1", "b2")
		for id, runs := range first {
			if len(all[id]) == len(runs) {
				return false
			}
		}
		return true
	}))
	return first, all
}

// maxRecomputedRatio is the target for the number of recomputed tokens, relative to
// the number that restarting the same streams on other engines would compute.
const maxRecomputedRatio = 0.1

// Measures how many tokens are recomputed when half of the engines are reclaimed,
// relative to restarting the same streams on other engines. The streams last 20 s;
// this test does not wait for their end, other tests do.
func TestRecomputedTokens(t *testing.T) {
	f := newUpstreamFleet(t, "--token-interval", "50ms")
	f.prompt = strings.Repeat("દીપ પુષ્પ ", 100)
	f.start("one")
	f.awaitTokens(20, "a1", "a2")
	f.notice("a1", 8*time.Second)
	f.notice("a2", 8*time.Second)
	f.awaitMoves("a1", "a2")
	first, all := f.awaitRunsElsewhere()
	recomputed, fromStart := 0, 0
	for id, runs := range first {
		fromStart += runs[0].Prompt + runs[0].Generated
		for _, r := range all[id][len(runs):] {
			recomputed += r.Prompt - r.Cached
		}
	}
	ratio := float64(recomputed) / float64(fromStart)
	testfleet.Figure("recomputed_ratio_reclaim", ratio, "ratio")
	testfleet.Figure("recomputed_tokens_reclaim", float64(recomputed), "tokens")
	testfleet.Figure("recomputed_tokens_start_again", float64(fromStart), "tokens")
	if ratio > maxRecomputedRatio {
		t.Errorf("recomputed ratio %.3f is above %.3f", ratio, maxRecomputedRatio)
	}
}
