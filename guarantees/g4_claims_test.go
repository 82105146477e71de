package guarantees

import (
	"fmt"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/hosting"
	"jaylink/standin/service"
)

// slotObjects describe a service whose one upstream has one slot.
const slotObjects = testfleet.DeskObjects + `
---
kind: Service
name: slot
spec: {selector: app=slot, protocol: http, upstreams: pool=slot, timeout: 2s}
---
kind: Service
name: patient-slot
spec: {selector: app=patient-slot, protocol: http, upstreams: pool=slot, timeout: 60s}
`

// kindClaimPage is the kind of the platform objects that store claims.
const kindClaimPage = "ClaimPage"

// claimFleet is a fleet for bookings with two desk services, one service with a
// single slot, and two entries.
type claimFleet struct {
	*testfleet.Fleet
	t        *testing.T
	one, two *testfleet.Entry
	// problems are the violations that the current case found.
	problems []string
}

func newClaimFleet(t *testing.T, apart bool) *claimFleet {
	f := &claimFleet{Fleet: testfleet.New(t), t: t}
	f.Isolated = apart
	f.Upstream("service", "desk", "d1", "a", "r")
	f.Upstream("service", "desk", "d2", "b", "r")
	slot := f.Upstream("service", "slot", "s1", "a", "r")
	slot.Object.Spec.(*api.UpstreamSpec).Slots = 1
	const settings = "drain: {leave_delay: 50ms}\nintervals: {heartbeat: 100ms}"
	f.one = f.StartEntry("one", "a", "r", settings)
	f.two = f.StartEntry("two", "b", "r", settings)
	f.Ready()
	f.Apply(f.one, slotObjects)
	return f
}

// expect records a violation unless the condition holds.
func (f *claimFleet) expect(ok bool, format string, args ...any) {
	if !ok {
		f.problems = append(f.problems, fmt.Sprintf(format, args...))
	}
}

// expectRefusal checks a refusal. If the caller may retry, the refusal must have a
// Retry-After header.
func (f *claimFleet) expectRefusal(r testfleet.Response, why reason.Reason, ran reason.Ran, retry bool) {
	f.expect(r.Reason == why && r.Ran == ran, "want %s and ran %s, got %+v", why, ran, r)
	f.expect(!retry || r.RetryAfter != "", "want a Retry-After, got %+v", r)
}

// expectRuns checks how often the work of a key ran, as recorded by the services.
func (f *claimFleet) expectRuns(key string, n int) {
	runs := 0
	for _, run := range f.ServiceRuns("d1", "d2", "s1") {
		if run.Key == key {
			runs++
		}
	}
	f.expect(runs == n, "key %s: want %d runs, got %d", key, n, runs)
}

// awaitAnswer repeats a booking until it is no longer refused as in progress.
func (f *claimFleet) awaitAnswer(e *testfleet.Entry, key string) testfleet.Response {
	f.t.Helper()
	var r testfleet.Response
	require.NoError(f.t, procs.Await("the end of "+key, func() bool {
		r = e.Book(key, "{}")
		return r.Reason != reason.KeyInProgress
	}))
	return r
}

// startBooking sends a booking in the background.
func (f *claimFleet) startBooking(e *testfleet.Entry, key string) <-chan testfleet.Response {
	out := make(chan testfleet.Response, 1)
	go func() { out <- e.Book(key, "{}") }()
	return out
}

func (f *claimFleet) restart(e *testfleet.Entry) {
	f.t.Helper()
	f.Restart(e)
	f.Ready()
}

// setDeskHolds makes the desks hold calls before or after running them.
func (f *claimFleet) setDeskHolds(before, after bool) {
	for _, name := range []string{"d1", "d2"} {
		f.SetServiceFaults(name, service.Faults{HoldBefore: before, HoldAfter: after})
	}
}

// awaitDeskCalls waits until the desks have n calls in progress.
func (f *claimFleet) awaitDeskCalls(n int) {
	f.t.Helper()
	require.NoError(f.t, procs.Await("calls at the desks", func() bool {
		return f.running("d1")+f.running("d2") == n
	}))
}

func (f *claimFleet) running(name string) int {
	var load struct{ Running int }
	f.Read("http://"+f.Nodes[name].Address+"/load", &load)
	return load.Running
}

var claimCases = []struct {
	fault string
	run   func(f *claimFleet, key string)
}{
	{"repeats_at_once", concurrentRepeats},
	{"different_body", differentBody},
	{"claim_answer_lost", claimAnswerLost},
	{"claim_takes_effect_late", claimTakesEffectLate},
	{"store_out", storeOut},
	{"upstream_reset_before_run", resetBeforeRun},
	{"upstream_reset_after_run", resetAfterRun},
	{"timed_out_in_queue", timedOutInQueue},
	{"answer_cut_in_body", answerCut},
	{"store_out_at_outcome_then_sigterm", storeOutAtOutcome},
	{"killed_between_claim_and_dispatch", killedBeforeDispatch},
	{"killed_between_dispatch_and_outcome", killedAfterDispatch},
	{"frozen_between_claim_and_dispatch", frozenBeforeDispatch},
}

func TestClaimedWorkRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	f := newClaimFleet(t, false)
	for _, tc := range claimCases {
		t.Run(tc.fault, func(t *testing.T) { f.check(t, tc.fault, tc.run) })
	}
}

func TestClaimedWorkRunsAtMostOnceInZonesCutOffFromEachOther(t *testing.T) {
	t.Parallel()
	f := newClaimFleet(t, true)
	t.Run("zones_cut_off", func(t *testing.T) { f.check(t, "zones_cut_off", concurrentRepeats) })
	f.Stop()
}

// check runs one case and reports its violations.
func (f *claimFleet) check(t *testing.T, fault string, run func(f *claimFleet, key string)) {
	f.t, f.problems = t, nil
	f.awaitStored()
	run(f, "key-"+fault)
	for _, p := range f.problems {
		t.Log(p)
	}
	testfleet.Report(t, testfleet.Guarantee{Number: 4, Fault: fault, Cases: 1, Violations: len(f.problems)})
}

// awaitStored waits until the entries have no pending write of an earlier case. A
// case that makes the platform hold writes would otherwise hold that one instead of
// its own.
func (f *claimFleet) awaitStored() {
	f.t.Helper()
	for _, e := range []*testfleet.Entry{f.one, f.two} {
		require.NoError(f.t, procs.Await("the claims of "+e.Name, func() bool {
			all, err := testfleet.Metrics(e)
			return err == nil && all["claim.pending"] == 0
		}))
	}
}

func concurrentRepeats(f *claimFleet, key string) {
	const keys, repeats = 8, 6
	var work sync.WaitGroup
	var mu sync.Mutex
	bodies := map[string]map[string]bool{}
	for i := range keys * repeats {
		k := fmt.Sprintf("%s-%d", key, i%keys)
		e := []*testfleet.Entry{f.one, f.two}[i/keys%2]
		work.Go(func() {
			r := e.Book(k, "{}")
			mu.Lock()
			defer mu.Unlock()
			if r.Status == 201 {
				if bodies[k] == nil {
					bodies[k] = map[string]bool{}
				}
				bodies[k][r.Body] = true
				return
			}
			f.expect(r.Reason == reason.KeyInProgress && r.RetryAfter != "", "repeat of %s got %+v", k, r)
		})
	}
	work.Wait()
	for i := range keys {
		k := fmt.Sprintf("%s-%d", key, i)
		r := f.awaitAnswer(f.two, k)
		f.expect(r.Status == 201 && bodies[k][r.Body] && len(bodies[k]) == 1, "%s: a later repeat got %+v, the first ones got %v", k, r, bodies[k])
		f.expectRuns(k, 1)
	}
}

func differentBody(f *claimFleet, key string) {
	f.expect(f.one.Book(key, "{}").Status == 201, "the booking failed")
	f.expectRefusal(f.two.Book(key, `{"other": 1}`), reason.KeyReused, reason.RanNo, false)
	f.expectRuns(key, 1)
}

func claimAnswerLost(f *claimFleet, key string) {
	f.SetPlatformFaults(hosting.Faults{LoseAnswers: 1})
	r := f.one.Book(key, "{}")
	f.expect(r.Status == 201, "got %+v", r)
	f.expect(f.awaitAnswer(f.two, key).Body == r.Body, "the repeat got a different answer")
	f.expectRuns(key, 1)
}

func claimTakesEffectLate(f *claimFleet, key string) {
	f.SetPlatformFaults(hosting.Faults{LateKind: kindClaimPage})
	f.expectRefusal(f.one.Book(key, "{}"), reason.ClaimUnavailable, reason.RanNo, true)
	f.expectRuns(key, 0)
	f.SetPlatformFaults(hosting.Faults{})
	r := f.awaitAnswer(f.two, key)
	f.expect(r.Status == 201, "the key was not freed: %+v", r)
	f.expectRuns(key, 1)
}

func storeOut(f *claimFleet, key string) {
	f.SetPlatformFaults(hosting.Faults{Outage: true})
	f.expectRefusal(f.one.Book(key, "{}"), reason.ClaimUnavailable, reason.RanNo, true)
	f.expectRuns(key, 0)
	f.SetPlatformFaults(hosting.Faults{})
	f.expect(f.two.Book(key, "{}").Status == 201, "the key was not free")
	f.expectRuns(key, 1)
}

func (f *claimFleet) setDeskFaults(faults service.Faults) {
	f.SetServiceFaults("d1", faults)
	f.SetServiceFaults("d2", faults)
}

func resetBeforeRun(f *claimFleet, key string) {
	resetAndRepeat(f, key, service.Faults{ResetBefore: 1}, 0)
}
func resetAfterRun(f *claimFleet, key string) {
	resetAndRepeat(f, key, service.Faults{ResetAfter: 1}, 1)
}

func resetAndRepeat(f *claimFleet, key string, faults service.Faults, runs int) {
	f.setDeskFaults(faults)
	f.expectRefusal(f.one.Book(key, "{}"), reason.NotRepeatable, reason.RanUnknown, false)
	f.setDeskFaults(service.Faults{})
	f.expectRefusal(f.awaitAnswer(f.two, key), reason.OutcomeUnknown, reason.RanUnknown, false)
	f.expectRuns(key, runs)
}

func answerCut(f *claimFleet, key string) {
	f.setDeskFaults(service.Faults{CutAnswer: 1})
	r := f.one.Book(key, "{}")
	f.setDeskFaults(service.Faults{})
	f.expect(r.Ran == reason.RanYes, "status 201 proves that the request ran, got %+v", r)
	f.expectRefusal(f.awaitAnswer(f.two, key), reason.OutcomeNotKept, reason.RanYes, false)
	f.expectRuns(key, 1)
}

func timedOutInQueue(f *claimFleet, key string) {
	f.SetServiceFaults("s1", service.Faults{HoldAfter: true})
	first := make(chan testfleet.Response, 1)
	go func() { first <- f.one.Call("POST", "/bookings", "patient-slot", key+"-first", "{}") }()
	f.AwaitRunning("s1", 1)
	r := f.one.Call("POST", "/bookings", "slot", key, "{}")
	f.expect(r.Ran == reason.RanNo && r.RetryAfter != "", "got %+v", r)
	f.SetServiceFaults("s1", service.Faults{})
	<-first
	require.NoError(f.t, procs.Await("the key to be free", func() bool {
		r = f.two.Call("POST", "/bookings", "slot", key, "{}")
		return r.Reason != reason.KeyInProgress
	}))
	f.expect(r.Status == 201, "the key was not freed: %+v", r)
	f.expectRuns(key, 1)
}

func storeOutAtOutcome(f *claimFleet, key string) {
	f.setDeskHolds(false, true)
	first := f.startBooking(f.two, key)
	f.awaitDeskCalls(1)
	f.SetPlatformFaults(hosting.Faults{Outage: true})
	f.setDeskHolds(false, false)
	answer := <-first
	f.expect(answer.Status == 201, "the answer waited for the store: %+v", answer)
	f.expect(f.two.Book(key, "{}").Body == answer.Body, "a repeat on the same entry got another answer")
	require.NoError(f.t, f.two.Signal(syscall.SIGTERM))
	f.SetPlatformFaults(hosting.Faults{})
	<-f.two.Done()
	f.expect(f.one.Book(key, "{}").Body == answer.Body, "the outcome was lost in a planned stop")
	f.expectRuns(key, 1)
	f.restart(f.two)
}

func killedBeforeDispatch(f *claimFleet, key string) {
	f.SetPlatformFaults(hosting.Faults{HoldKind: kindClaimPage})
	first := f.startBooking(f.two, key)
	f.AwaitHeld(1)
	f.killAndCheck(first, key, 0)
}

func killedAfterDispatch(f *claimFleet, key string) {
	f.setDeskHolds(false, true)
	first := f.startBooking(f.two, key)
	f.awaitDeskCalls(1)
	f.killAndCheck(first, key, 1)
}

// killAndCheck ends entry two with SIGKILL, restarts it and checks how repeats are
// refused.
func (f *claimFleet) killAndCheck(first <-chan testfleet.Response, key string, runs int) {
	f.two.Kill()
	<-first
	f.SetPlatformFaults(hosting.Faults{})
	f.setDeskHolds(false, false)
	f.restart(f.two)
	for _, e := range []*testfleet.Entry{f.one, f.two} {
		f.expectRefusal(f.awaitAnswer(e, key), reason.OutcomeUnknown, reason.RanUnknown, false)
	}
	f.expectRuns(key, runs)
}

func frozenBeforeDispatch(f *claimFleet, key string) {
	f.SetPlatformFaults(hosting.Faults{HoldKind: kindClaimPage})
	first := make(chan testfleet.Response, 1)
	go func() { first <- f.two.Call("POST", "/bookings", "slot", key, "{}") }()
	f.AwaitHeld(1)
	require.NoError(f.t, f.two.Freeze())
	f.SetPlatformFaults(hosting.Faults{})
	var r testfleet.Response
	require.NoError(f.t, procs.Await("the holder to count as gone", func() bool {
		r = f.one.Call("POST", "/bookings", "slot", key, "{}")
		return r.Reason != reason.KeyInProgress
	}))
	f.expectRefusal(r, reason.OutcomeUnknown, reason.RanUnknown, false)
	require.NoError(f.t, f.two.Signal(syscall.SIGCONT))
	late := <-first
	f.expect(late.Ran == reason.RanNo, "the deadline passed while the entry was frozen, got %+v", late)
	f.expectRuns(key, 0)
	require.NoError(f.t, procs.Await("the key to be free", func() bool {
		r = f.one.Call("POST", "/bookings", "slot", key, "{}")
		return r.Status == 201
	}))
	f.expectRuns(key, 1)
}
