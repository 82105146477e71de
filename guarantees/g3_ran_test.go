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

// ranObjects describe services with short timeouts over one pool each.
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

// told is a response with what could have been known about its request.
type told struct {
	fault    string
	response testfleet.Response
	// knowable is "no" or "yes" where an entry can know it, else "unknown".
	knowable reason.Ran
}

// ranFleet collects responses and checks them against what the upstreams ran.
type ranFleet struct {
	*testfleet.Fleet
	t   *testing.T
	one *testfleet.Entry
	mu  sync.Mutex
	all []told
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

// ask sends a call and notes the response.
func (f *ranFleet) ask(fault, method, path, app, key string, knowable reason.Ran) testfleet.Response {
	r := f.one.Call(method, path, app, key, `{"prompt": "x"}`)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, told{fault: fault, response: r, knowable: knowable})
	return r
}

// askEach sends a call without a key, one with a key and a lookup.
func (f *ranFleet) askEach(fault, app string, knowable reason.Ran) {
	var work sync.WaitGroup
	work.Go(func() { f.ask(fault, "POST", "/bookings", app, "", knowable) })
	work.Go(func() { f.ask(fault, "POST", "/charges", app, "ran-"+fault, knowable) })
	work.Go(func() { f.ask(fault, "GET", "/orders/7", app, "", knowable) })
	work.Wait()
}

// trusted waits until the entry sends work to the desk again after failures.
func (f *ranFleet) trusted() {
	f.t.Helper()
	require.NoError(f.t, procs.Await("the desk to be trusted again", func() bool {
		return f.one.Call("GET", "/orders/1", "desk", "", "").Status == 200
	}))
}

var ranCases = []struct {
	fault string
	run   func(f *ranFleet, fault string)
}{
	{"unknown_service", func(f *ranFleet, fault string) { f.askEach(fault, "nothing", reason.RanNo) }},
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

// withDesk sends calls of the service with the short timeout under a fault.
func (f *ranFleet) withDesk(fault string, faults service.Faults, knowable reason.Ran) {
	f.ServiceFaults("d1", faults)
	var work sync.WaitGroup
	work.Go(func() { f.ask(fault, "POST", "/bookings", "brief", "", knowable) })
	work.Go(func() { f.ask(fault, "POST", "/charges", "brief", "ran-"+fault, knowable) })
	work.Wait()
	f.ServiceFaults("d1", service.Faults{})
	f.trusted()
}

func connectRefused(f *ranFleet, fault string) {
	f.Nodes["g1"].Kill()
	f.askEach(fault, "gone", reason.RanNo)
}

func upstreamFrozen(f *ranFleet, fault string) {
	desk := f.Nodes["d1"]
	require.NoError(f.t, desk.Signal(syscall.SIGSTOP))
	f.ask(fault, "POST", "/bookings", "brief", "", reason.RanUnknown)
	require.NoError(f.t, desk.Signal(syscall.SIGCONT))
	f.trusted()
}

func queueTimeout(f *ranFleet, fault string) {
	f.ServiceFaults("s1", service.Faults{HoldAfter: true})
	var work sync.WaitGroup
	work.Go(func() { f.ask(fault, "POST", "/bookings", "patient-slot", "", reason.RanYes) })
	f.AwaitRunning("s1", 1)
	for range 4 {
		work.Go(func() { f.ask(fault, "POST", "/bookings", "slot", "", reason.RanNo) })
	}
	f.ask(fault, "POST", "/bookings", "slot", "ran-"+fault, reason.RanNo)
	require.NoError(f.t, procs.Await("the queue to be empty", func() bool {
		s, err := f.one.Client().Status(f.t.Context())
		return err == nil && s.InFlight == 1
	}))
	f.ServiceFaults("s1", service.Faults{})
	work.Wait()
}

func upstreamLeaving(f *ranFleet, fault string) {
	f.ServiceFaults("s1", service.Faults{Leaving: true})
	require.NoError(f.t, procs.Await("the entry to see it leave", func() bool {
		return f.one.Call("POST", "/bookings", "slot", "", "").Status == 503
	}))
	f.askEach(fault, "slot", reason.RanNo)
	f.ServiceFaults("s1", service.Faults{})
}

func ranStoreOut(f *ranFleet, fault string) {
	f.PlatformFaults(hosting.Faults{Outage: true})
	f.ask(fault, "POST", "/charges", "desk", "ran-"+fault, reason.RanNo)
	f.PlatformFaults(hosting.Faults{})
}

func engineRefuses(f *ranFleet, fault string) {
	f.Put("http://"+f.Nodes["e1"].Address+"/faults", engine.Faults{Refuse: true})
	f.ask(fault, "POST", "/v1/completions", "captions", "", reason.RanNo)
	f.Put("http://"+f.Nodes["e1"].Address+"/faults", engine.Faults{})
}

// ranSigterm stops the entry while calls are in flight and more come.
func ranSigterm(f *ranFleet, fault string) {
	const before = 4
	f.ServiceFaults("d1", service.Faults{HoldAfter: true})
	var work sync.WaitGroup
	for range before {
		work.Go(func() { f.ask(fault, "POST", "/bookings", "desk", "", reason.RanYes) })
	}
	f.AwaitRunning("d1", before)
	require.NoError(f.t, f.one.Signal(syscall.SIGTERM))
	require.NoError(f.t, procs.Await("the entry to refuse new work", func() bool {
		return f.ask(fault, "GET", "/orders/7", "slot", "", reason.RanNo).Reason == reason.Draining
	}))
	f.ServiceFaults("d1", service.Faults{})
	work.Wait()
	<-f.one.Done()
}

// ran returns the requests that ran, by the upstreams' own record.
func (f *ranFleet) ran() map[string]bool {
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

// violates reports whether a response says what is not so.
func (c *told) violates(ran bool) bool {
	switch {
	case c.response.Err != nil:
		return false
	case c.response.Reason == "":
		return !ran // an answer that was relayed
	case c.response.Ran == reason.RanNo:
		return ran
	case c.response.Ran == reason.RanYes:
		return !ran
	}
	return c.response.Ran != reason.RanUnknown
}

func TestWhatCallersAreToldAboutRunsIsTrue(t *testing.T) {
	t.Parallel()
	f := newRanFleet(t)
	var faults []string
	for _, tc := range ranCases {
		tc.run(f, tc.fault)
		faults = append(faults, tc.fault)
	}
	f.AwaitRunning("d1", 0)
	ran := f.ran()
	unknown, avoidable := 0, 0
	for _, fault := range faults {
		cases, violations := 0, 0
		for _, c := range f.all {
			if c.fault != fault {
				continue
			}
			cases++
			if c.violates(ran[c.response.RequestID]) {
				violations++
				t.Logf("%s: ran=%v, told %+v", fault, ran[c.response.RequestID], c.response)
			}
			if c.response.Ran == reason.RanUnknown {
				unknown++
				if slices.Contains([]reason.Ran{reason.RanNo, reason.RanYes}, c.knowable) {
					avoidable++
					t.Logf("%s: could have been told %s: %+v", fault, c.knowable, c.response)
				}
			}
		}
		testfleet.Report(t, testfleet.Guarantee{Number: 3, Fault: fault, Cases: cases, Violations: violations})
	}
	testfleet.Figure("unknown_told", float64(unknown), "responses")
	testfleet.Figure("unknown_avoidable", float64(avoidable), "responses")
}

// A plain service's failure is relayed as it is: jaylink can't know what it means.
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
			f.ServiceFaults("d1", tc.faults)
			r := f.one.Call("POST", "/bookings", "desk", "", "{}")
			f.ServiceFaults("d1", service.Faults{})
			require.Equal(t, tc.status, r.Status)
			require.Contains(t, r.Body, tc.body)
			require.Empty(t, r.Reason)
			require.Equal(t, tc.runs > 0, f.ran()[r.RequestID])
			f.trusted()
		})
	}
}
