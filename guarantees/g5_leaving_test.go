package guarantees

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/hosting"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/engine"
	platformstandin "jaylink/standin/hosting"
)

// leavingFleet has entries in two zones that continuously send completions to an
// engine that will leave ("leaver") and to one that stays ("stayer").
type leavingFleet struct {
	*testfleet.Fleet
	t       *testing.T
	leaver  *testfleet.Node
	stop    context.CancelFunc
	callers sync.WaitGroup
}

func newLeavingFleet(t *testing.T) *leavingFleet {
	f := &leavingFleet{Fleet: testfleet.New(t), t: t}
	f.Relayed = true
	f.leaver = f.Upstream("engine", "caption-lm", "leaver", "a", "r", "--token-interval", "1ms")
	f.Upstream("engine", "caption-lm", "stayer", "a", "r", "--token-interval", "1ms")
	f.setLiveHosts("leaver", "stayer")
	for _, zone := range []string{"a", "b"} {
		for _, n := range []string{"1", "2"} {
			f.StartEntry(zone+n, zone, "r", "intervals: {watch: 5s}\ndrain: {leave_delay: 50ms}\n")
		}
	}
	f.Ready()
	f.Apply(f.Entries["a1"], captionObjects)
	for _, e := range f.Entries {
		require.NoError(t, procs.Await("the peers of "+e.Name, func() bool {
			s, err := e.Client().Status(t.Context())
			return err == nil && len(s.Peers) == 3
		}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	t.Cleanup(f.stopLoad)
	for _, e := range f.Entries {
		f.callers.Go(func() { f.call(ctx, e) })
	}
	return f
}

func (f *leavingFleet) stopLoad() {
	f.stop()
	f.callers.Wait()
}

// call sends completions through an entry, one after the other.
func (f *leavingFleet) call(ctx context.Context, e *testfleet.Entry) {
	for i := 0; ctx.Err() == nil; i++ {
		_, _ = sendCaption(f.t, e, fmt.Sprintf("%s %d", e.Name, i), 2)
	}
}

// setLiveHosts sets the platform's host list: the named hosts are live, the others
// are leaving.
func (f *leavingFleet) setLiveHosts(live ...string) {
	var hosts []hosting.Host
	for _, name := range []string{"leaver", "stayer"} {
		state := hosting.HostLeaving
		if slices.Contains(live, name) {
			state = hosting.HostLive
		}
		hosts = append(hosts, hosting.Host{Name: name, Role: hosting.RoleUpstream, State: state})
	}
	f.SetHosts(hosts)
}

func (f *leavingFleet) notice(host string) {
	f.Post("http://"+f.Platform+"/v1/notices", hosting.Notice{Host: host, Deadline: time.Now().Add(time.Minute)})
}

func (f *leavingFleet) runs(n *testfleet.Node) []*engine.Run {
	var runs []*engine.Run
	f.Read("http://"+n.Address+"/runs", &runs)
	return runs
}

// leaving reports whether an entry regards an upstream as leaving.
func (f *leavingFleet) leaving(e *testfleet.Entry, name string) bool {
	s, err := e.Client().Status(f.t.Context())
	if err != nil {
		return false
	}
	for _, u := range s.Upstreams {
		if u.Name == name {
			return u.Leaving
		}
	}
	return false
}

// awaitBusy waits until the upstream has begun at least four more runs.
func (f *leavingFleet) awaitBusy(n *testfleet.Node) {
	f.t.Helper()
	before := len(f.runs(n))
	require.NoError(f.t, procs.Await("new work", func() bool { return len(f.runs(n)) >= before+4 }))
}

// countDispatchesOnceKnown waits until every entry knows that the upstream is leaving
// and until further requests have run on the other engine. It returns how many runs
// began on the leaving upstream in that time, and how long after the leaving signal
// the last one began.
func (f *leavingFleet) countDispatchesOnceKnown(signaled time.Time) (violations int, last time.Duration) {
	f.t.Helper()
	for _, e := range f.Entries {
		require.NoError(f.t, procs.Await("the leaving signal on "+e.Name, func() bool { return f.leaving(e, "leaver") }))
	}
	// Requests that were dispatched before the entries knew have begun once later
	// requests have been answered.
	f.awaitBusy(f.Nodes["stayer"])
	known := len(f.runs(f.leaver))
	f.awaitBusy(f.Nodes["stayer"])
	f.awaitBusy(f.Nodes["stayer"])
	runs := f.runs(f.leaver)
	if len(runs) > 0 {
		last = runs[len(runs)-1].At.Sub(signaled)
	}
	return len(runs) - known, max(last, 0)
}

// An upstream that is leaving gets no new requests once the entries know it, whichever
// way the leaving signal arrives: by a notice, the host list or the upstream's own
// report.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	cases := []struct {
		fault  string
		before func(f *leavingFleet)
		signal func(f *leavingFleet)
	}{
		{"host_list_lags", nil, func(f *leavingFleet) { f.notice("leaver") }},
		{"notice_lost_host_list_only", nil, func(f *leavingFleet) { f.setLiveHosts("stayer") }},
		{"own_report_only", nil, func(f *leavingFleet) {
			f.Put("http://"+f.leaver.Address+"/faults", engine.Faults{Leaving: true})
		}},
		{"notice_lost_on_the_path_to_one_zone", func(f *leavingFleet) {
			f.SetPlatformFaults(platformstandin.Faults{BlockZones: []string{"a"}})
		}, func(f *leavingFleet) { f.notice("leaver") }},
		{"host_list_unreadable_in_one_zone", func(f *leavingFleet) {
			f.SetPlatformFaults(platformstandin.Faults{BlockZones: []string{"b"}})
		}, func(f *leavingFleet) { f.setLiveHosts("stayer") }},
		{"platform_out_own_report", func(f *leavingFleet) {
			f.SetPlatformFaults(platformstandin.Faults{Outage: true})
		}, func(f *leavingFleet) { f.Put("http://"+f.leaver.Address+"/faults", engine.Faults{Leaving: true}) }},
		{"zone_cut_from_platform_and_peers_own_report", func(f *leavingFleet) {
			f.SetPlatformFaults(platformstandin.Faults{BlockZones: []string{"b"}})
			f.CutZone("b")
		}, func(f *leavingFleet) { f.Put("http://"+f.leaver.Address+"/faults", engine.Faults{Leaving: true}) }},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			f := newLeavingFleet(t)
			f.awaitBusy(f.leaver)
			if c.before != nil {
				c.before(f)
			}
			begin := time.Now()
			c.signal(f)
			violations, last := f.countDispatchesOnceKnown(begin)
			f.stopLoad()
			testfleet.Figure("leaving_last_dispatch_ms_"+c.fault, float64(last.Microseconds())/1000, "ms")
			testfleet.Report(t, testfleet.Guarantee{Number: 5, Fault: c.fault, Cases: len(f.Entries), Violations: violations})
		})
	}
}

// A notice about a host that has no upstream object yet takes effect when the object
// is applied.
func TestNoticeOfAnUnknownHostIsKept(t *testing.T) {
	f := newLeavingFleet(t)
	late := f.Upstream("engine", "caption-lm", "late", "a", "r", "--token-interval", "1ms")
	f.SetHosts([]hosting.Host{
		{Name: "leaver", Role: hosting.RoleUpstream, State: hosting.HostLive},
		{Name: "stayer", Role: hosting.RoleUpstream, State: hosting.HostLive},
		{Name: "late", Role: hosting.RoleUpstream, State: hosting.HostLive},
	})
	f.notice("late")
	f.notice("leaver") // arrives after the other notice on every path
	for _, e := range f.Entries {
		require.NoError(t, procs.Await("the notices on "+e.Name, func() bool { return f.leaving(e, "leaver") }))
	}
	f.Apply(f.Entries["b1"], captionObjects)
	f.awaitBusy(f.Nodes["stayer"])
	f.awaitBusy(f.Nodes["stayer"])
	f.stopLoad()
	testfleet.Report(t, testfleet.Guarantee{Number: 5, Fault: "notice_before_configuration", Cases: len(f.Entries), Violations: len(f.runs(late))})
}

// An upstream gets new work again after its leaving signal is withdrawn.
func TestUpstreamGetsWorkAfterLeavingSignalIsWithdrawn(t *testing.T) {
	f := newLeavingFleet(t)
	f.setLiveHosts("stayer")
	for _, e := range f.Entries {
		require.NoError(t, procs.Await("the leaving signal on "+e.Name, func() bool { return f.leaving(e, "leaver") }))
	}
	f.setLiveHosts("stayer", "leaver")
	for _, e := range f.Entries {
		require.NoError(t, procs.Await("the withdrawal of the leaving signal on "+e.Name, func() bool { return !f.leaving(e, "leaver") }))
	}
	f.awaitBusy(f.leaver)
	f.stopLoad()
	testfleet.Report(t, testfleet.Guarantee{Number: 5, Fault: "sign_withdrawn", Cases: len(f.Entries)})
}
