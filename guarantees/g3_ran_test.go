package guarantees

import (
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
	"jaylink/standin/hosting"
	"jaylink/standin/service"
)

// ranObjects describe services over one pool each. All but desk and patient-slot have
// a short timeout.
const ranObjects = testfleet.DeskObjects + `
---
kind: Service
name: brief
spec: {selector: app=brief, protocol: http, upstreams: pool=desk, timeout: 1s}
---
kind: Service
name: slot
spec: {selector: app=slot, protocol: http, upstreams: pool=slot, timeout: 1s, queue_length: 1}
---
kind: Service
name: patient-slot
spec: {selector: app=patient-slot, protocol: http, upstreams: pool=slot, timeout: 60s}
---
kind: Service
name: gone
spec: {selector: app=gone, protocol: http, upstreams: pool=gone, timeout: 1s}
---
kind: Service
name: caption-lm
spec: {selector: app=captions, protocol: completions, upstreams: pool=caption-lm, timeout: 1s}
`

// recordedResponse is a response together with the best statement that the entry
// could have made about whether the request ran.
type recordedResponse struct {
	fault    string
	response testfleet.Response
	// known is "no" or "yes" if the entry can know it, and "unknown" otherwise.
	known reason.Ran
}

// ranFleet records responses and compares their "ran" member with what the upstreams
// ran.
type ranFleet struct {
	*testfleet.Fleet
	t         *testing.T
	one       *testfleet.Entry
	mu        sync.Mutex
	responses []recordedResponse
}

func newRanFleet(t *testing.T) *ranFleet {
	f := &ranFleet{Fleet: testfleet.New(t), t: t}
	f.Upstream("service", "desk", "d1", "a", "r")
	slot := f.Upstream("service", "slot", "s1", "a", "r")
	slot.Object.Spec.(*api.UpstreamSpec).Slots = 1
	f.Upstream("service", "gone", "g1", "a", "r")
	f.Upstream("engine", "caption-lm", "e1", "a", "r")
	f.one = f.StartEntry("one", "a", "r", "drain: {leave_delay: 50ms}\nintervals: {load: 100ms}")
	f.Ready()
	f.Apply(f.one, ranObjects)
	return f
}

// callAndRecord sends a call and records the response.
func (f *ranFleet) callAndRecord(fault, method, path, app, key string, known reason.Ran) testfleet.Response {
	r := f.one.Call(method, path, app, key, `{"prompt": "x"}`)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responses = append(f.responses, recordedResponse{fault: fault, response: r, known: known})
	return r
}

// callEachKind sends a call without an idempotency key, one with a key, and a lookup.
func (f *ranFleet) callEachKind(fault, app string, known reason.Ran) {
	var work sync.WaitGroup
	work.Go(func() { f.callAndRecord(fault, "POST", "/bookings", app, "", known) })
	work.Go(func() { f.callAndRecord(fault, "POST", "/charges", app, "ran-"+fault, known) })
	work.Go(func() { f.callAndRecord(fault, "GET", "/orders/7", app, "", known) })
	work.Wait()
}

// awaitDeskUsable waits until the entry routes requests to the desk again after
// failures.
func (f *ranFleet) awaitDeskUsable() {
	f.t.Helper()
	require.NoError(f.t, procs.Await("the desk to be usable again", func() bool {
		return f.one.Call("GET", "/orders/1", "desk", "", "").Status == 200
	}))
}

var ranCases = []struct {
	fault string
	run   func(f *ranFleet, fault string)
}{
	{"unknown_service", func(f *ranFleet, fault string) { f.callEachKind(fault, "nothing", reason.RanNo) }},
	{"connect_refused", connectRefused},
	{"reset_before_run", func(f *ranFleet, fault string) { f.withDesk(fault, service.Faults{ResetBefore: 99}, reason.RanUnknown) }},
	{"reset_after_run", func(f *ranFleet, fault string) { f.withDesk(fault, service.Faults{ResetAfter: 99}, reason.RanUnknown) }},
	{"answer_cut_in_body", func(f *ranFleet, fault string) { f.withDesk(fault, service.Faults{CutAnswer: 99}, reason.RanYes) }},
	{"timed_out_before_run", func(f *ranFleet, fault string) {
		f.withDesk(fault, service.Faults{HoldBefore: true}, reason.RanUnknown)
	}},
	{"timed_out_after_run", func(f *ranFleet, fault string) { f.withDesk(fault, service.Faults{HoldAfter: true}, reason.RanUnknown) }},
	{"upstream_frozen", upstreamFrozen},
	{"queue_full_and_queue_timeout", queueTimeout},
	{"upstream_leaving", upstreamLeaving},
	{"store_out", ranStoreOut},
	{"engine_refuses", engineRefuses},
	{"sigterm", ranSigterm},
}

// withDesk sends calls to the desk through the service with the short timeout, while
// the desk has the given faults.
func (f *ranFleet) withDesk(fault string, faults service.Faults, known reason.Ran) {
	f.SetServiceFaults("d1", faults)
	var work sync.WaitGroup
	work.Go(func() { f.callAndRecord(fault, "POST", "/bookings", "brief", "", known) })
	work.Go(func() { f.callAndRecord(fault, "POST", "/charges", "brief", "ran-"+fault, known) })
	work.Wait()
	f.SetServiceFaults("d1", service.Faults{})
	f.awaitDeskUsable()
}

func connectRefused(f *ranFleet, fault string) {
	f.Nodes["g1"].Kill()
	f.callEachKind(fault, "gone", reason.RanNo)
}

func upstreamFrozen(f *ranFleet, fault string) {
	desk := f.Nodes["d1"]
	require.NoError(f.t, desk.Signal(syscall.SIGSTOP))
	f.callAndRecord(fault, "POST", "/bookings", "brief", "", reason.RanUnknown)
	require.NoError(f.t, desk.Signal(syscall.SIGCONT))
	f.awaitDeskUsable()
}

func queueTimeout(f *ranFleet, fault string) {
	f.SetServiceFaults("s1", service.Faults{HoldAfter: true})
	var work sync.WaitGroup
	work.Go(func() { f.callAndRecord(fault, "POST", "/bookings", "patient-slot", "", reason.RanYes) })
	f.AwaitRunning("s1", 1)
	for range 4 {
		work.Go(func() { f.callAndRecord(fault, "POST", "/bookings", "slot", "", reason.RanNo) })
	}
	f.callAndRecord(fault, "POST", "/bookings", "slot", "ran-"+fault, reason.RanNo)
	require.NoError(f.t, procs.Await("the queue to be empty", func() bool {
		s, err := f.one.Client().Status(f.t.Context())
		return err == nil && s.InFlight == 1
	}))
	f.SetServiceFaults("s1", service.Faults{})
	work.Wait()
}

func upstreamLeaving(f *ranFleet, fault string) {
	f.SetServiceFaults("s1", service.Faults{Leaving: true})
	require.NoError(f.t, procs.Await("the entry to know that the upstream is leaving", func() bool {
		return f.one.Call("POST", "/bookings", "slot", "", "").Status == 503
	}))
	f.callEachKind(fault, "slot", reason.RanNo)
	f.SetServiceFaults("s1", service.Faults{})
}

func ranStoreOut(f *ranFleet, fault string) {
	f.SetPlatformFaults(hosting.Faults{Outage: true})
	f.callAndRecord(fault, "POST", "/charges", "desk", "ran-"+fault, reason.RanNo)
	f.SetPlatformFaults(hosting.Faults{})
}

func engineRefuses(f *ranFleet, fault string) {
	f.Put("http://"+f.Nodes["e1"].Address+"/faults", engine.Faults{Refuse: true})
	f.callAndRecord(fault, "POST", "/v1/completions", "captions", "", reason.RanNo)
	f.Put("http://"+f.Nodes["e1"].Address+"/faults", engine.Faults{})
}

// ranSigterm stops the entry while calls are in flight and more calls arrive.
func ranSigterm(f *ranFleet, fault string) {
	const before = 4
	f.SetServiceFaults("d1", service.Faults{HoldAfter: true})
	var work sync.WaitGroup
	for range before {
		work.Go(func() { f.callAndRecord(fault, "POST", "/bookings", "desk", "", reason.RanYes) })
	}
	f.AwaitRunning("d1", before)
	require.NoError(f.t, f.one.Signal(syscall.SIGTERM))
	require.NoError(f.t, procs.Await("the entry to refuse new work", func() bool {
		return f.callAndRecord(fault, "GET", "/orders/7", "slot", "", reason.RanNo).Reason == reason.Draining
	}))
	f.SetServiceFaults("d1", service.Faults{})
	work.Wait()
	<-f.one.Done()
}

// requestsRun returns the IDs of the requests that ran, as recorded by the upstreams.
func (f *ranFleet) requestsRun() map[string]bool {
	out := map[string]bool{}
	for _, run := range f.ServiceRuns("d1", "s1") {
		id, _, _ := strings.Cut(run.RequestID, "/")
		out[id] = true
	}
	var runs []engine.Run
	f.Read("http://"+f.Nodes["e1"].Address+"/runs", &runs)
	for _, run := range runs {
		id, _, _ := strings.Cut(run.RequestID, "/")
		out[id] = true
	}
	return out
}

// contradicts reports whether the response contradicts what the upstreams recorded.
func (c *recordedResponse) contradicts(ran bool) bool {
	switch {
	case c.response.Err != nil:
		return false
	case c.response.Reason == "":
		return !ran // a relayed answer implies that the request ran
	case c.response.Ran == reason.RanNo:
		return ran
	case c.response.Ran == reason.RanYes:
		return !ran
	}
	return c.response.Ran != reason.RanUnknown
}

// Injects each fault in turn and checks that no response claims that a request ran
// when it did not, or did not run when it did. It also counts the responses that say
// "unknown" although the entry could have known.
func TestWhatCallersAreToldAboutRunsIsTrue(t *testing.T) {
	t.Parallel()
	f := newRanFleet(t)
	var faults []string
	for _, tc := range ranCases {
		tc.run(f, tc.fault)
		faults = append(faults, tc.fault)
	}
	f.AwaitRunning("d1", 0)
	ran := f.requestsRun()
	unknown, imprecise := 0, 0
	for _, fault := range faults {
		cases, violations := 0, 0
		for _, c := range f.responses {
			if c.fault != fault {
				continue
			}
			cases++
			if c.contradicts(ran[c.response.RequestID]) {
				violations++
				t.Logf("%s: ran=%v, response %+v", fault, ran[c.response.RequestID], c.response)
			}
			if c.response.Ran == reason.RanUnknown {
				unknown++
				if slices.Contains([]reason.Ran{reason.RanNo, reason.RanYes}, c.known) {
					imprecise++
					t.Logf("%s: response should say %s: %+v", fault, c.known, c.response)
				}
			}
		}
		testfleet.Report(t, testfleet.Guarantee{Number: 3, Fault: fault, Cases: cases, Violations: violations})
	}
	testfleet.Figure("unknown_told", float64(unknown), "responses")
	testfleet.Figure("unknown_avoidable", float64(imprecise), "responses")
}

// An error response of a plain service is relayed unchanged, because jaylink can't
// know what it means.
func TestFailuresOfPlainServicesAreRelayed(t *testing.T) {
	t.Parallel()
	f := newRanFleet(t)
	cases := map[string]struct {
		faults service.Faults
		status int
		body   string
		runs   int
	}{
		"503 before running": {service.Faults{Refuse: true}, 503, "refused", 0},
		"500 before running": {service.Faults{FailStatus: 1}, 500, "failed before running", 0},
		"500 after running":  {service.Faults{FailRun: true}, 500, "failed after running", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f.SetServiceFaults("d1", tc.faults)
			r := f.one.Call("POST", "/bookings", "desk", "", "{}")
			f.SetServiceFaults("d1", service.Faults{})
			require.Equal(t, tc.status, r.Status)
			require.Contains(t, r.Body, tc.body)
			require.Empty(t, r.Reason)
			require.Equal(t, tc.runs > 0, f.requestsRun()[r.RequestID])
			f.awaitDeskUsable()
		})
	}
}
