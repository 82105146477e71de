//go:build bench

package bench

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/internal/load"
	"jaylink/internal/testfleet"
	"jaylink/internal/workload"
	"jaylink/standin/engine"
)

const (
	comparisonTime = 30 * time.Second
	// engineArgs give a stand-in engine the parameters of the model's engine.
	engineArgs     = "--token-interval=25ms --batch-interval=1ms --prefill=400us --load-lag=500ms --prefix-tokens=32000"
	latencySamples = 3000
	// clockTick is the unit of CPU time in /proc.
	clockTick = 10 * time.Millisecond
)

// startDeployment starts the upstreams of a deployment and its first two entries, which
// run a chain. The entries write traces to the given files.
func startDeployment(t *testing.T, d Deployment, c Chain, traces ...string) *testfleet.Fleet {
	f := testfleet.New(t)
	objects, err := readObjects(examples + "/" + d.Name)
	require.NoError(t, err)
	var rest []*api.Object
	for _, o := range objects {
		spec, ok := o.Spec.(*api.UpstreamSpec)
		if !ok {
			rest = append(rest, o)
			continue
		}
		kind, args := "service", []string(nil)
		if spec.Protocol == api.ProtocolCompletions {
			kind, args = "engine", append(strings.Fields(engineArgs), fmt.Sprintf("--slots=%d", spec.Slots))
		}
		n := f.Upstream(kind, o.Labels["pool"], o.Name, spec.AvailabilityZone, spec.Region, args...)
		copied := *spec
		copied.Address = n.Address
		n.Object.Spec = &copied
	}
	var plugins strings.Builder
	for _, id := range c.modules() {
		fmt.Fprintf(&plugins, "  - id: %s\n", id)
	}
	for i, site := range d.Entries[:2] {
		if i < len(traces) {
			f.EntryArgs = []string{"--trace", traces[i]}
		} else {
			f.EntryArgs = nil
		}
		f.StartEntry(fmt.Sprintf("entry-%d", i), site.Zone, site.Region, "plugins:\n"+plugins.String())
	}
	f.Ready()
	f.ApplyObjects(f.Entries["entry-0"], rest)
	return f
}

// callers returns the caller addresses of both entries.
func callers(f *testfleet.Fleet) []string {
	return []string{f.Entries["entry-0"].Caller, f.Entries["entry-1"].Caller}
}

// Records the traces under examples/traces. A wave reclaims a zone during the run. The
// test's name excludes it from "make bench".
func TestRecordTraces(t *testing.T) {
	const recordTime = 12 * time.Second
	for _, d := range Deployments {
		profile, err := workload.Read(examples + "/load/" + d.Name + ".yaml")
		require.NoError(t, err)
		profile.Waves[0].At, profile.Waves[0].Notice = api.Duration(4*time.Second), api.Duration(2*time.Second)
		profile.Waves[0].Back = api.Duration(9 * time.Second)
		file, err := filepath.Abs(examples + "/traces/" + d.Name + ".jsonl")
		require.NoError(t, err)
		f := startDeployment(t, d, Standard, file)
		_, err = load.Run(t.Context(), load.Options{
			Profile: profile, Entries: callers(f), Seed: 1, Scale: 1, Duration: recordTime, Engines: enginesOf(f),
		})
		require.NoError(t, err)
		f.Stop()
	}
}

// engineUsage is the total of what the engines of a fleet computed.
type engineUsage struct {
	cost      float64
	prefilled int
}

func engineUsageOf(f *testfleet.Fleet) engineUsage {
	var u engineUsage
	for _, n := range f.Nodes {
		spec := n.Object.Spec.(*api.UpstreamSpec)
		if spec.Protocol != api.ProtocolCompletions {
			continue
		}
		var runs []engine.Run
		f.Read("http://"+n.Address+"/runs", &runs)
		for _, r := range runs {
			u.cost += r.Busy.Hours() * spec.PricePerHour / float64(spec.Slots)
			u.prefilled += r.Prompt - r.Cached
		}
	}
	return u
}

// Compares the chains with processes instead of the model: each chain runs in its own
// fleet, and all fleets get the same load with a wave at the same time.
func TestFigureProcessesAgainstBaselines(t *testing.T) {
	d := Deployments[1]
	profile, err := workload.Read(examples + "/load/" + d.Name + ".yaml")
	require.NoError(t, err)
	profile.Waves[0].At, profile.Waves[0].Notice = api.Duration(8*time.Second), api.Duration(5*time.Second)
	profile.Waves[0].Back = api.Duration(20 * time.Second)
	chains := []Chain{Standard, RoundRobin, LeastLoaded}
	usage, within := make([]engineUsage, len(chains)), make([]int, len(chains))
	var fleets []*testfleet.Fleet
	for _, c := range chains {
		fleets = append(fleets, startDeployment(t, d, c))
	}
	var work sync.WaitGroup
	for i, f := range fleets {
		work.Go(func() {
			report, err := load.Run(t.Context(), load.Options{
				Profile: profile, Entries: callers(f), Seed: 1, Scale: 1, Duration: comparisonTime, Engines: enginesOf(f),
			})
			if err != nil {
				t.Error(err)
				return
			}
			for _, name := range []string{"assessments", "paint"} {
				s := report.Streams[name]
				within[i] += s.Within
				Print(Figure{fmt.Sprintf("processes_within_share.%s.%s", name, chains[i]), float64(s.Within) / float64(s.Sent), "share", 0})
			}
			usage[i] = engineUsageOf(f)
		})
	}
	work.Wait()
	cost := func(i int) float64 { return usage[i].cost / float64(max(within[i], 1)) }
	Print(
		Figure{"processes_cost_ratio_vs_round_robin.forbund", cost(0) / cost(1), "ratio", 0.6},
		Figure{"processes_cost_ratio_vs_least_loaded.forbund", cost(0) / cost(2), "ratio", 0.6},
		Figure{"processes_prefilled_ratio_vs_least_loaded.forbund", float64(usage[0].prefilled) / float64(usage[2].prefilled), "ratio", 0},
	)
}

func enginesOf(f *testfleet.Fleet) []load.Engine {
	var list []load.Engine
	for _, n := range f.Nodes {
		spec := n.Object.Spec.(*api.UpstreamSpec)
		if strings.HasPrefix(spec.MachineClass, "reclaimable-gpu") {
			list = append(list, load.Engine{Address: n.Address, AvailabilityZone: spec.AvailabilityZone})
		}
	}
	return list
}

// Measures the latency that an entry adds to a lookup, by alternating lookups through
// the entry and directly at the service.
func TestFigureAddedLatency(t *testing.T) {
	f := startDeployment(t, Deployments[1], Standard)
	e := f.Entries["entry-0"]
	service := f.Nodes["workshop-desk-1"].Address
	direct, through := hdrhistogram.New(1, 60e6, 3), hdrhistogram.New(1, 60e6, 3)
	for range latencySamples {
		timeLookup(t, direct, service, "")
		timeLookup(t, through, e.Caller, "vasteras-falg-demo-token")
	}
	added := func(q float64) float64 {
		return float64(through.ValueAtQuantile(q) - direct.ValueAtQuantile(q))
	}
	Print(Figure{"added_latency_p50_us", added(50), "us", 200}, Figure{"added_latency_p99_us", added(99), "us", 1500})
}

func timeLookup(t *testing.T, h *hdrhistogram.Histogram, address, token string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/orders/17", nil)
	require.NoError(t, err)
	req.Header.Set("Jaylink-Label-App", "desk")
	req.Header.Set("Authorization", "Bearer "+token)
	begin := time.Now()
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	_ = h.RecordValue(max(1, time.Since(begin).Microseconds()))
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Measures urgent lookups alone, and then under a load of completions that exceeds the
// capacity of the engines several times. Both runs alternate on the same entries.
func TestFigureUrgentUnderOverload(t *testing.T) {
	const rounds, roundTime, overload = 2, 5 * time.Second, 20
	f := startDeployment(t, Deployments[1], Standard)
	profile, err := workload.Read(examples + "/load/forbund.yaml")
	require.NoError(t, err)
	lookups, generated := *profile, *profile
	lookups.Streams, generated.Streams = profile.Streams[2:], profile.Streams[:2]
	lookups.Streams[0].Rate = 200
	idle, loaded := hdrhistogram.New(1, 60e6, 3), hdrhistogram.New(1, 60e6, 3)
	run := func(p *workload.Profile, seed uint64, scale float64) *load.Report {
		r, err := load.Run(t.Context(), load.Options{Profile: p, Entries: callers(f), Seed: seed, Scale: scale, Duration: roundTime})
		require.NoError(t, err)
		return r
	}
	refused := 0
	for i := range uint64(rounds) {
		idle.Merge(run(&lookups, i, 1).Streams["order-lookup"].Whole)
		var background sync.WaitGroup
		background.Go(func() { run(&generated, i, overload) })
		s := run(&lookups, i+100, 1).Streams["order-lookup"]
		loaded.Merge(s.Whole)
		refused += s.Sent - s.Answered
		background.Wait()
	}
	Print(
		Figure{"urgent_p99_ratio_loaded_vs_idle", float64(loaded.ValueAtQuantile(99)) / float64(idle.ValueAtQuantile(99)), "ratio", 1.5},
		Figure{"urgent_p99_loaded_us", float64(loaded.ValueAtQuantile(99)), "us", 0},
		Figure{"urgent_not_answered_loaded", float64(refused), "requests", 0},
	)
}

// Measures tokens and requests per CPU time of an entry, which depends less on the load
// of the machine than figures per wall-clock time.
func TestFigureCPUTime(t *testing.T) {
	const streams, tokens, lookups = 64, 2000, 5000
	const manyStreams, manyTokens = 384, 600
	f := testfleet.New(t)
	f.Upstream("engine", "p", "e1", "a", "r", "--token-interval=2ms", "--slots=512", "--prefill=1us")
	f.Nodes["e1"].Object.Spec.(*api.UpstreamSpec).Slots = 512
	f.Upstream("service", "s", "s1", "a", "r")
	e := f.StartEntry("one", "a", "r", "")
	f.Ready()
	f.Apply(e, cpuTimeObjects)
	profile := &workload.Profile{
		Duration: api.Duration(time.Second), Customers: []workload.Customer{{Token: "t", Share: 1}},
		Streams: []workload.Stream{{Name: "g", Method: "POST", Path: "/v1/completions", Labels: api.Labels{"app": "g"}, Rate: streams, AnswerTokens: tokens}},
	}
	before := cpuTime(t, e.PID())
	report, err := load.Run(t.Context(), load.Options{Profile: profile, Entries: []string{e.Caller}, Seed: 1, Scale: 1})
	require.NoError(t, err)
	spent := cpuTime(t, e.PID()) - before
	Print(Figure{"entry_rss_mb.64_streams", residentMB(t, e.PID()), "MB", 0})
	var runs []engine.Run
	f.Read("http://"+f.Nodes["e1"].Address+"/runs", &runs)
	generated := 0
	for _, r := range runs {
		generated += r.Generated
	}
	require.Equal(t, report.Streams["g"].Sent, report.Streams["g"].Answered)
	Print(Figure{"tokens_relayed_per_core", float64(generated) / spent.Seconds(), "tokens/s", 0})
	profile.Streams[0].Rate, profile.Streams[0].AnswerTokens = manyStreams, manyTokens
	_, err = load.Run(t.Context(), load.Options{Profile: profile, Entries: []string{e.Caller}, Seed: 2, Scale: 1})
	require.NoError(t, err)
	Print(Figure{"entry_rss_mb.384_streams", residentMB(t, e.PID()), "MB", 0})
	h := hdrhistogram.New(1, 60e6, 3)
	before = cpuTime(t, e.PID())
	for range lookups {
		timeLookup(t, h, e.Caller, "t")
	}
	spent = cpuTime(t, e.PID()) - before
	Print(Figure{"requests_per_core", lookups / spent.Seconds(), "requests/s", 0})
}

const cpuTimeObjects = `
kind: Service
name: g
spec: {selector: app=g, protocol: completions, upstreams: pool=p}
---
kind: Service
name: s
spec: {selector: app=desk, protocol: http, upstreams: pool=s, class: urgent}
---
kind: Customer
name: c
spec: {selector: "*"}
---
kind: Policy
name: repeatable
spec: {selector: "*", idempotent: true}
`

// cpuTime returns the user and system time that a process has used.
func cpuTime(t *testing.T, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	return time.Duration(user+system) * clockTick
}

// residentMB returns the resident memory of a process in MB.
func residentMB(t *testing.T, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	require.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(t, err)
	return float64(pages*os.Getpagesize()) / 1e6
}
