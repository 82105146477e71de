//go:build bench

package control

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"encoding/json"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/internal/bench"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/operator"
)

const (
	zones = 5
	// upstreamsPerTen is the number of upstreams per ten entries. It is the ratio of the
	// design size, 710 upstreams to 340 entries.
	upstreamsPerTen = 21
	settleTime      = 6 * time.Second
	window          = 10 * time.Second
	changes         = 20
	// clockTicks is the number of units of CPU time in /proc per second.
	clockTicks = 100

	targetCPU   = 1.3    // percent of a core
	targetKBps  = 20     // per node
	targetRSS   = 256    // MB
	targetApply = 14_000 // ms
)

var sizes = []int{4, 8, 16, 32, 64}

// sample is the measurement at one fleet size. Values of entries are averages, except
// rssMB, which is the maximum.
type sample struct {
	cpuPercent, sentKBps, receivedKBps, rssMB float64
	idleCalls, callsPerChange                 float64
	applyP99                                  float64
}

// Measures the control plane at each fleet size, and the growth per entry.
func TestFigureControl(t *testing.T) {
	at := map[int]sample{}
	for _, n := range sizes {
		ok := t.Run(fmt.Sprint(n), func(t *testing.T) { at[n] = measure(t, n) })
		require.True(t, ok)
		s := at[n]
		name := func(what string) string { return fmt.Sprintf("%s.%d", what, n) }
		bench.Print(
			bench.Figure{Name: name("control_cpu_percent"), Value: s.cpuPercent, Unit: "%", Target: targetCPU},
			bench.Figure{Name: name("control_sent_kbps"), Value: s.sentKBps, Unit: "KB/s"},
			bench.Figure{Name: name("control_received_kbps"), Value: s.receivedKBps, Unit: "KB/s"},
			bench.Figure{Name: name("control_kbps"), Value: s.sentKBps + s.receivedKBps, Unit: "KB/s", Target: targetKBps},
			bench.Figure{Name: name("control_rss_mb"), Value: s.rssMB, Unit: "MB", Target: targetRSS},
			bench.Figure{Name: name("platform_idle_calls_per_second_of_fleet"), Value: s.idleCalls, Unit: "calls/s"},
			bench.Figure{Name: name("platform_calls_per_config_change"), Value: s.callsPerChange, Unit: "calls"},
			bench.Figure{Name: name("config_in_force_p99_ms"), Value: s.applyP99, Unit: "ms", Target: targetApply},
		)
	}
	slope := func(what string, f func(sample) float64) {
		first, last := sizes[1], sizes[len(sizes)-1]
		bench.Print(bench.Figure{Name: what + "_slope", Value: (f(at[last]) - f(at[first])) / float64(last-first), Unit: "per entry"})
	}
	slope("control_cpu_percent", func(s sample) float64 { return s.cpuPercent })
	slope("control_kbps", func(s sample) float64 { return s.sentKBps + s.receivedKBps })
	slope("control_rss_mb", func(s sample) float64 { return s.rssMB })
	slope("platform_idle_calls_per_second_of_fleet", func(s sample) float64 { return s.idleCalls })
	slope("platform_calls_per_config_change", func(s sample) float64 { return s.callsPerChange })
	slope("config_in_force_p99_ms", func(s sample) float64 { return s.applyP99 })
}

// measure runs a fleet of n entries without callers.
func measure(t *testing.T, n int) sample {
	f := testfleet.New(t)
	authority := testfleet.NewAuthority(t)
	var engines []*testfleet.Node
	for z := range zones {
		engines = append(engines, f.Upstream("engine", "pool", fmt.Sprintf("engine-%d", z), zone(z), region(z)))
	}
	var first *testfleet.Entry
	for i := range n {
		name := fmt.Sprintf("entry-%02d", i)
		e := f.StartEntry(name, zone(i%zones), region(i%zones), authority.Settings(name))
		if first == nil {
			first = e
		}
	}
	f.Ready()
	f.Apply(first, objects(engines, n*upstreamsPerTen/10))
	for _, e := range f.Entries {
		require.NoError(t, procs.Await("all peers", func() bool { return readGauge(t, e, "peer.live") == float64(n-1) }))
	}
	time.Sleep(settleTime)
	s := measureIdle(t, f, n)
	measureChanges(t, f, first, &s)
	return s
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i) }

func region(i int) string { return fmt.Sprintf("region-%d", i%2) }

func objects(engines []*testfleet.Node, upstreams int) string {
	var b strings.Builder
	b.WriteString("kind: Service\nname: lm\nspec: {selector: app=lm, protocol: completions, upstreams: pool=pool}\n")
	for i := range upstreams {
		z := i % zones
		fmt.Fprintf(&b, "---\nkind: Upstream\nname: up-%04d\nlabels: {pool: pool}\nspec: {address: %q, protocol: completions, availability_zone: %s, region: %s}\n",
			i, engines[z].Address, zone(z), region(z))
	}
	return b.String()
}

// measureIdle measures a window in which the configuration does not change.
func measureIdle(t *testing.T, f *testfleet.Fleet, n int) sample {
	type reading struct{ cpu, sent, received float64 }
	read := func() (out reading) {
		for _, e := range f.Entries {
			out.cpu += cpuSeconds(t, e.PID())
			out.sent += readGauge(t, e, "peer.sent_bytes")
			out.received += readGauge(t, e, "peer.received_bytes")
		}
		return out
	}
	calls := platformCalls(t, f)
	before, begin := read(), time.Now()
	time.Sleep(window)
	after, took := read(), time.Since(begin).Seconds()
	s := sample{
		cpuPercent:   100 * (after.cpu - before.cpu) / took / float64(n),
		sentKBps:     (after.sent - before.sent) / 1000 / took / float64(n),
		receivedKBps: (after.received - before.received) / 1000 / took / float64(n),
		idleCalls:    (platformCalls(t, f) - calls) / took,
	}
	for _, e := range f.Entries {
		s.rssMB = max(s.rssMB, rssMB(t, e.PID()))
	}
	return s
}

// measureChanges measures consecutive configuration changes.
func measureChanges(t *testing.T, f *testfleet.Fleet, through *testfleet.Entry, s *sample) {
	calls, begin := platformCalls(t, f), time.Now()
	var times []float64
	for i := range changes {
		key := api.Key{Kind: api.KindService, Name: "lm"}
		o, err := through.Client().Label(context.Background(), key, operator.LabelRequest{Set: api.Labels{"change": strconv.Itoa(i)}})
		require.NoError(t, err)
		accepted := time.Now()
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, e := range f.Entries {
			wg.Go(func() {
				client := e.Client()
				err := procs.Await("the change", func() bool {
					have, err := client.Get(context.Background(), key)
					return err == nil && have.Version >= o.Version
				})
				mu.Lock()
				defer mu.Unlock()
				times = append(times, float64(time.Since(accepted).Microseconds())/1000)
				require.NoError(t, err)
			})
		}
		wg.Wait()
	}
	spent := platformCalls(t, f) - calls - s.idleCalls*time.Since(begin).Seconds()
	s.callsPerChange = spent / changes
	slices.Sort(times)
	s.applyP99 = times[len(times)*99/100]
}

func readGauge(t *testing.T, e *testfleet.Entry, name string) float64 {
	resp, err := http.Get("http://" + e.Operator + "/v1/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	var all map[string]struct {
		Value float64 `json:"value"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&all))
	return all[name].Value
}

func platformCalls(t *testing.T, f *testfleet.Fleet) float64 {
	var calls map[string]int
	f.Read("http://"+f.Platform+"/v1/calls", &calls)
	total := 0
	for _, c := range calls {
		total += c
	}
	return float64(total)
}

// cpuSeconds returns the CPU time of a process.
func cpuSeconds(t *testing.T, pid int) float64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseFloat(fields[11], 64)
	require.NoError(t, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	require.NoError(t, err)
	return (user + system) / clockTicks
}

func rssMB(t *testing.T, pid int) float64 {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	require.NoError(t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			require.NoError(t, err)
			return kb / 1000
		}
	}
	t.Fatal("VmRSS is missing")
	return 0
}
