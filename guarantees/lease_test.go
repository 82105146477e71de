package guarantees

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/lease"
	"jaylink/hosting"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/operator"
	"jaylink/standin/engine"
	"jaylink/upstream"
)

// A lease holder is paused until its lease has expired, while the model that an engine
// should run changes, and then resumes. An engine that checks fencing tokens refuses
// the old holder's orders once it has had one of the next holder, and an engine that
// ignores them gets none from the old holder.
func TestPausedLeaseHolder(t *testing.T) {
	cases := []struct {
		fault  string
		checks bool
	}{
		{"holder_paused_engine_checks_fencing", true},
		{"holder_paused_engine_ignores_fencing", false},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) { pauseHolder(t, c.fault, c.checks) })
	}
}

func pauseHolder(t *testing.T, fault string, checks bool) {
	f := testfleet.New(t)
	args := []string{}
	if checks {
		args = append(args, "--check-fencing")
	}
	n := f.Upstream("engine", "caption-lm", "e1", "a", "r", args...)
	n.Object.Labels["model"] = "lm-1"
	n.Object.Spec.(*api.UpstreamSpec).ChecksFencing = checks
	for _, name := range []string{"one", "two", "three"} {
		f.StartEntry(name, "a", "r", "intervals: {heartbeat: 100ms, lease: 900ms}\n")
	}
	f.Ready()
	f.Apply(f.Entries["one"], captionObjects)
	awaitModel(t, f, n, "lm-1")
	first := readLease(t, f)

	paused := f.Entries[first.Holder]
	require.NoError(t, paused.Signal(syscall.SIGSTOP))
	var through *testfleet.Entry
	for name, e := range f.Entries {
		if name != first.Holder {
			through = e
		}
	}
	_, err := through.Client().Label(context.Background(), n.Object.Key(), operator.LabelRequest{Set: api.Labels{"model": "lm-2"}})
	require.NoError(t, err)
	awaitModel(t, f, n, "lm-2")
	second := readLease(t, f)
	require.NotEqual(t, first.Holder, second.Holder)
	require.Greater(t, second.Generation, first.Generation)

	require.NoError(t, paused.Signal(syscall.SIGCONT))
	require.NoError(t, procs.Await("the paused entry to know the change", func() bool {
		o, err := paused.Client().Get(t.Context(), n.Object.Key())
		return err == nil && o.Labels["model"] == "lm-2"
	}))
	// Another change, so that every entry that believes to hold the lease sends an
	// order.
	_, err = through.Client().Label(context.Background(), n.Object.Key(), operator.LabelRequest{Set: api.Labels{"model": "lm-3"}})
	require.NoError(t, err)
	awaitModel(t, f, n, "lm-3")

	var orders []engine.ReceivedOrder
	f.Read("http://"+n.Address+"/orders", &orders)
	violations := 0
	var highest uint64
	for _, o := range orders {
		if o.Generation < highest && !o.Refused {
			violations++
		}
		highest = max(highest, o.Generation)
	}
	require.GreaterOrEqual(t, len(orders), 3, fmt.Sprint(orders))
	testfleet.Report(t, testfleet.Guarantee{Number: 0, Fault: fault, Cases: len(orders), Violations: violations})
}

func awaitModel(t *testing.T, f *testfleet.Fleet, n *testfleet.Node, model string) {
	t.Helper()
	require.NoError(t, procs.Await(model+" on the engine", func() bool {
		var state upstream.EngineState
		f.Read("http://"+n.Address+"/state", &state)
		return state.Model == model
	}))
}

// readLease reads the lease from the platform.
func readLease(t *testing.T, f *testfleet.Fleet) lease.Record {
	t.Helper()
	client := hosting.New(f.Platform)
	defer client.Close()
	stored, err := client.Get(t.Context(), "Lease", "orders")
	require.NoError(t, err)
	var rec lease.Record
	require.NoError(t, json.Unmarshal(stored.Value, &rec))
	return rec
}
