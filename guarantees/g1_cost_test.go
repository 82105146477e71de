package guarantees

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/internal/caller"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
	"jaylink/upstream"
)

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	var ticks int
	for _, i := range []int{11, 12} { // utime and stime
		n, err := strconv.Atoi(fields[i])
		require.NoError(t, err)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// Measures the CPU time that a handover costs its owner for each stream, and the
// duration of the whole handover.
func TestHandoverOfManyStreams(t *testing.T) {
	const streams, tokens = 200, 60
	f := &completionFleet{Fleet: testfleet.New(t), t: t}
	for _, z := range fleetZones {
		f.Upstream("engine", "caption-lm", "engine-"+z.zone, z.zone, z.region, "--slots", "400", "--token-interval", "45ms")
		f.StartEntry(z.zone+"1", z.zone, z.region, longDrain)
	}
	for _, n := range f.Nodes {
		setSlots(n, 400)
	}
	f.Ready()
	f.Apply(f.Entries["a1"], captionObjects)
	// Slows the engines, so that no stream ends before the last one has begun, even
	// on a slow machine.
	f.setEngineFaults(engine.Faults{SlowMS: 2000})
	header := http.Header{"Jaylink-Label-App": {"captions"}, "Jaylink-Label-Account": {"desai"}}
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
			defer cancel()
			prompt := fmt.Sprintf("%d દીપ", i)
			answer, err := caller.New(f.addresses("a1"), header).Complete(ctx, upstream.Completion{Prompt: prompt, MaxTokens: tokens, Stream: true})
			if err != nil || answer.Text != engine.Text(prompt, tokens) {
				t.Errorf("%s: %v, %d bytes", prompt, err, len(answer.Text))
			}
		})
	}
	entry := f.Entries["a1"]
	require.NoError(t, procs.Await("the streams", func() bool {
		s, err := entry.Client().Status(t.Context())
		return err == nil && s.InFlight == streams
	}))
	f.setEngineFaults(engine.Faults{})
	used, begun := cpuTime(t, entry.PID()), time.Now()
	f.notice("a1", 2*time.Second)
	f.awaitCounter("a1", "handover.moved", streams)
	took := time.Since(begun)
	used = cpuTime(t, entry.PID()) - used
	testfleet.Figure("handover_ms_for_200_streams", float64(took.Milliseconds()), "ms")
	testfleet.Figure("handover_owner_cpu_us_per_stream", float64(used.Microseconds())/streams, "us")
	callers.Wait()
}

func (f *completionFleet) setEngineFaults(faults engine.Faults) {
	for _, n := range f.Nodes {
		f.Put("http://"+n.Address+"/faults", faults)
	}
}

func setSlots(n *testfleet.Node, slots int) { n.Object.Spec.(*api.UpstreamSpec).Slots = slots }
