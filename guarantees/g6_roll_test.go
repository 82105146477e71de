package guarantees

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/internal/caller"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
	"jaylink/standin/hosting"
	"jaylink/standin/service"
	"jaylink/upstream"
)

// mixedObjects describe the services for completions and for bookings.
const mixedObjects = captionObjects + "\n---" + testfleet.DeskObjects

// readiness returns the status code of an entry's readiness check, or 0 if its port
// is closed.
func readiness(e *testfleet.Entry) int {
	resp, err := http.Get(e.URL("/healthz/ready"))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// A SIGTERM interrupts no request of a load of streams, plain calls, queued requests,
// and bookings whose work or whose claim is in progress. The readiness check fails
// while the port is still open, so that a load balancer can take the entry out.
func TestStopUnderMixedLoad(t *testing.T) {
	const running, claiming = 4, 1
	f := &completionFleet{Fleet: testfleet.New(t), t: t}
	f.Upstream("engine", "caption-lm", "e1", "a", "r", "--slots", "3", "--token-interval", "2ms")
	f.Upstream("engine", "caption-lm", "e2", "b", "r", "--slots", "3", "--token-interval", "2ms")
	f.Upstream("service", "desk", "d1", "a", "r")
	f.StartEntry("one", "a", "r", longDrain)
	f.StartEntry("two", "b", "r", longDrain)
	f.Ready()
	f.Apply(f.Entries["one"], mixedObjects)
	results := f.start("one")
	f.SetServiceFaults("d1", service.Faults{HoldAfter: true})
	booked := make(chan testfleet.Response, running+claiming)
	book := func(key string) { booked <- f.Entries["one"].Book(key, "{}") }
	for i := range running {
		go book(fmt.Sprintf("running-%d", i))
	}
	f.AwaitRunning("d1", running)
	f.SetPlatformFaults(hosting.Faults{HoldKind: kindClaimPage})
	for i := range claiming {
		go book(fmt.Sprintf("claiming-%d", i))
	}
	f.AwaitHeld(1)
	require.NoError(t, f.Entries["one"].Signal(syscall.SIGTERM))
	require.NoError(t, procs.Await("the readiness check to fail", func() bool {
		return readiness(f.Entries["one"]) == http.StatusServiceUnavailable
	}))
	f.SetPlatformFaults(hosting.Faults{})
	f.SetServiceFaults("d1", service.Faults{})
	violations := f.countViolations(results)
	for range running + claiming {
		if r := <-booked; r.Status != http.StatusCreated {
			t.Logf("booking: %+v", r)
			violations++
		}
	}
	<-f.Entries["one"].Done()
	testfleet.Report(t, testfleet.Guarantee{
		Number: 6, Fault: "sigterm_mixed_load", Cases: callerCount + running + claiming, Violations: violations,
	})
}

// Entries are restarted in turn, twice, while completions keep arriving. Each
// completion gets a complete answer, and no accepted one is abandoned.
func TestRollingRestartLosesNothing(t *testing.T) {
	const tokens = 200
	f := newMultiZoneFleet(t, "drain: {leave_delay: 100ms, timeout: 500ms}")
	names := []string{"a1", "b1", "c1", "a2"}
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var mu sync.Mutex
	cases, violations := 0, 0
	header := http.Header{"Jaylink-Label-App": {"captions"}, "Jaylink-Label-Account": {"desai"}}
	for i := range callerCount {
		callers.Go(func() {
			client := caller.New(f.addresses(names[i%len(names)]), header)
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("%d-%d દીપ", i, n)
				answer, err := client.Complete(t.Context(), upstream.Completion{Prompt: prompt, MaxTokens: tokens, Stream: n%2 == 0})
				mu.Lock()
				cases++
				if err != nil || answer.Text != engine.Text(prompt, tokens) || answer.Abandoned > 0 {
					t.Logf("%s: %v, %d bytes, id %s, abandoned %d", prompt, err, len(answer.Text), answer.ID, answer.Abandoned)
					violations++
				}
				mu.Unlock()
			}
		})
	}
	for _, name := range slices.Concat(names, names) {
		e := f.Entries[name]
		require.NoError(t, e.Signal(syscall.SIGTERM))
		<-e.Done()
		f.Restart(e)
		require.NoError(t, procs.AwaitHTTP(e.URL("/healthz/ready")))
	}
	stop()
	callers.Wait()
	testfleet.Report(t, testfleet.Guarantee{Number: 6, Fault: "rolling_restart", Cases: cases, Violations: violations})
}
