package guarantees

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/hosting"
	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/operator"
	platformstandin "jaylink/standin/hosting"
)

var (
	serviceKey = api.Key{Kind: api.KindService, Name: "caption-lm"}
	extraKey   = api.Key{Kind: api.KindCustomer, Name: "extra"}
)

const extraObject = `
kind: Customer
name: extra
spec: {selector: account=extra}
`

// configFleet is two entries in each of three zones, with objects in force.
type configFleet struct {
	*testfleet.Fleet
	t       *testing.T
	history *history
	writes  int // that were accepted
}

func newConfigFleet(t *testing.T) *configFleet {
	f := testfleet.New(t)
	f.Relayed = true
	for _, zone := range []string{"a", "b", "c"} {
		for _, n := range []string{"1", "2"} {
			f.StartEntry(zone+n, zone, "region-of-"+zone, "intervals: {heartbeat: 100ms, watch: 5s}\n")
		}
	}
	f.Ready()
	f.Apply(f.Entries["a1"], captionObjects)
	for _, e := range f.Entries {
		require.NoError(t, procs.Await("the peers of "+e.Name, func() bool {
			s, err := e.Client().Status(t.Context())
			return err == nil && len(s.Peers) == 5
		}))
	}
	return &configFleet{Fleet: f, t: t, history: watchHistory(t, f, extraKey)}
}

func (f *configFleet) label(through, name, value string) error {
	_, err := f.Entries[through].Client().Label(context.Background(), serviceKey, operator.LabelRequest{Set: api.Labels{name: value}})
	if err == nil {
		f.writes++
	}
	return err
}

func (f *configFleet) mustLabel(through, name, value string) {
	f.t.Helper()
	require.NoError(f.t, f.label(through, name, value))
}

// inForce reports whether a label has a value on an entry.
func (f *configFleet) inForce(entry, name, value string) bool {
	o, err := f.Entries[entry].Client().Get(context.Background(), serviceKey)
	return err == nil && o.Labels[name] == value
}

// await waits until a label has a value on the entries.
func (f *configFleet) await(name, value string, entries ...string) {
	f.t.Helper()
	for _, e := range entries {
		require.NoError(f.t, procs.Await(name+"="+value+" on "+e, func() bool { return f.inForce(e, name, value) }))
	}
}

// settle waits until every entry has in force exactly what the platform holds.
func (f *configFleet) settle() {
	f.t.Helper()
	f.PlatformFaults(platformstandin.Faults{})
	f.HealZones()
	client := hosting.New(f.Platform)
	defer client.Close()
	want := map[api.Key]uint64{}
	for _, kind := range api.ConfigKinds {
		list, err := client.List(f.t.Context(), string(kind))
		require.NoError(f.t, err)
		for _, r := range list.Items {
			want[api.Key{Kind: kind, Name: r.Name}] = r.Version
		}
	}
	for _, e := range f.Entries {
		require.NoError(f.t, procs.Await("what the platform holds on "+e.Name, func() bool {
			list, err := e.Client().List(f.t.Context(), "")
			have := map[api.Key]uint64{}
			for _, o := range list {
				have[o.Key()] = o.Version
			}
			return err == nil && fmt.Sprint(have) == fmt.Sprint(want)
		}))
	}
}

var everyEntry = []string{"a1", "a2", "b1", "b2", "c1", "c2"}

func TestConfigurationIsInForceEverywhereAndNeverReverts(t *testing.T) {
	cases := []struct {
		fault string
		run   func(f *configFleet)
	}{
		{"operators_race_on_different_labels", raceOnDifferentLabels},
		{"operators_race_on_one_label", raceOnOneLabel},
		{"write_answers_lost", loseWriteAnswers},
		{"writes_dropped", dropWrites},
		{"stale_reads", readStale},
		{"watch_replays_old_events", replayWatch},
		{"watch_compacted", compactWatch},
		{"entry_starts_during_outage", startDuringOutage},
		{"zone_cut_from_platform", cutFromPlatform},
		{"zone_cut_from_platform_and_peers", cutFromBoth},
		{"deletion_while_an_entry_is_paused", deleteWhilePaused},
		{"readers_of_a_zone_killed", killReaders},
	}
	for _, c := range cases {
		t.Run(c.fault, func(t *testing.T) {
			f := newConfigFleet(t)
			c.run(f)
			f.settle()
			f.history.stop()
			for _, v := range f.history.violations {
				t.Error(v)
			}
			require.Positive(t, f.history.looks)
			testfleet.Report(t, testfleet.Guarantee{Number: 7, Fault: c.fault, Cases: f.writes, Violations: len(f.history.violations)})
		})
	}
}

// Every one of the labels that operators set at once on all entries is there.
func raceOnDifferentLabels(f *configFleet) {
	var wg sync.WaitGroup
	errs := make([]error, len(everyEntry))
	for i, e := range everyEntry {
		wg.Go(func() {
			_, errs[i] = f.Entries[e].Client().Label(context.Background(), serviceKey, operator.LabelRequest{Set: api.Labels{"from-" + e: "yes"}})
		})
	}
	wg.Wait()
	for i, e := range everyEntry {
		require.NoError(f.t, errs[i], e)
		f.writes++
		f.await("from-"+e, "yes", everyEntry...)
	}
}

// Of operators that change one label from the same value, one wins; the others
// are told who, and what is in force is the winner's value.
func raceOnOneLabel(f *configFleet) {
	const rounds = 5
	before := ""
	for round := range rounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		winner, won := "", 0
		o, err := f.Entries["a1"].Client().Get(f.t.Context(), serviceKey)
		require.NoError(f.t, err)
		f.await("season", before, everyEntry...)
		for _, e := range everyEntry {
			value := fmt.Sprintf("%s-%d", e, round)
			wg.Go(func() {
				client := f.Entries[e].Client()
				client.Operator = e
				_, err := client.Label(context.Background(), serviceKey, operator.LabelRequest{
					Set: api.Labels{"season": value}, Expect: api.Labels{"season": before}, Version: o.Version,
				})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					winner, won = value, won+1
					return
				}
				var refused *operator.StatusError
				if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
					f.t.Errorf("loser %s: %v", e, err)
					return
				}
				current := refused.Failure.Current
				if current == nil || current.Version <= o.Version || current.Operator == "" {
					f.t.Errorf("loser %s is not told what stands and who wrote it: %+v", e, current)
				}
			})
		}
		wg.Wait()
		require.Equal(f.t, 1, won, "round %d", round)
		f.writes++
		f.await("season", winner, everyEntry...)
		before = winner
	}
}

// A write whose answer is lost is settled: accepted, and in force everywhere.
func loseWriteAnswers(f *configFleet) {
	for i, e := range everyEntry {
		f.PlatformFaults(platformstandin.Faults{LoseAnswers: 1 + i%2})
		f.mustLabel(e, "lost-"+e, "yes")
		f.await("lost-"+e, "yes", everyEntry...)
	}
}

// A write that had no effect and no answer is sent again with the same token.
func dropWrites(f *configFleet) {
	for i, e := range everyEntry {
		f.PlatformFaults(platformstandin.Faults{DropWrites: 1 + i%2})
		f.mustLabel(e, "dropped-"+e, "yes")
		f.await("dropped-"+e, "yes", everyEntry...)
	}
}

// Reads and watches that show an older state change nothing on any entry, an
// entry that starts again included.
func readStale(f *configFleet) {
	for i := range 5 {
		f.mustLabel(everyEntry[i], "stale", fmt.Sprint(i))
	}
	f.await("stale", "4", everyEntry...)
	f.history.stop()
	f.PlatformFaults(platformstandin.Faults{StaleBy: 3})
	e := f.Entries["b1"]
	e.Kill()
	f.Restart(e)
	f.Ready()
	next := watchHistory(f.t, f.Fleet)
	f.await("stale", "4", everyEntry...)
	f.PlatformFaults(platformstandin.Faults{StaleBy: 2})
	f.mustLabel("c1", "stale", "5")
	f.await("stale", "5", everyEntry...)
	next.looks += f.history.looks
	next.violations = append(next.violations, f.history.violations...)
	f.history = next
}

func replayWatch(f *configFleet) {
	var start uint64
	for i := range 6 {
		f.PlatformFaults(platformstandin.Faults{ReplayFrom: &start})
		value := fmt.Sprint(i)
		f.mustLabel(everyEntry[i], "replayed", value)
		f.await("replayed", value, everyEntry...)
	}
}

// Watches that name a compacted revision make the readers list everything.
func compactWatch(f *configFleet) {
	f.PlatformFaults(platformstandin.Faults{Outage: true})
	f.PlatformFaults(platformstandin.Faults{CompactedAt: 1 << 40})
	f.mustLabel("a1", "compacted", "yes")
	f.await("compacted", "yes", everyEntry...)
	f.PlatformFaults(platformstandin.Faults{})
	f.mustLabel("b2", "compacted", "no")
	f.await("compacted", "no", everyEntry...)
}

func startDuringOutage(f *configFleet) {
	f.mustLabel("a1", "newest", "yes")
	f.PlatformFaults(platformstandin.Faults{Outage: true})
	f.StartEntry("b3", "b", "region-of-b", "intervals: {heartbeat: 100ms, watch: 5s}\n")
	f.Ready()
	f.await("newest", "yes", "b3")
	require.Error(f.t, f.label("b3", "newest", "no"), "nothing can be accepted in an outage")
	require.True(f.t, f.inForce("b3", "newest", "yes"))
}

// The zone's peers bring what its readers can't read.
func cutFromPlatform(f *configFleet) {
	f.PlatformFaults(platformstandin.Faults{BlockZones: []string{"c"}})
	for i, e := range []string{"a1", "a2", "b1", "b2"} {
		value := fmt.Sprint(i)
		f.mustLabel(e, "cut", value)
		f.await("cut", value, everyEntry...)
	}
}

// A zone that is cut off from both keeps what it has and catches up afterwards.
func cutFromBoth(f *configFleet) {
	f.mustLabel("a1", "cut", "before")
	f.await("cut", "before", everyEntry...)
	f.PlatformFaults(platformstandin.Faults{BlockZones: []string{"c"}})
	f.CutZone("c")
	f.mustLabel("b1", "cut", "meanwhile")
	f.await("cut", "meanwhile", "a1", "a2", "b1", "b2")
	for _, e := range []string{"c1", "c2"} {
		require.True(f.t, f.inForce(e, "cut", "before"), e)
	}
	f.HealZones()
	f.await("cut", "meanwhile", everyEntry...)
}

// An object is deleted and created again while an entry is paused.
func deleteWhilePaused(f *configFleet) {
	through := f.Entries["a1"]
	f.Apply(through, extraObject)
	f.writes++
	paused := f.Entries["c2"]
	require.NoError(f.t, paused.Signal(syscall.SIGSTOP))
	require.NoError(f.t, through.Client().Delete(f.t.Context(), extraKey, 0))
	f.writes++
	for _, e := range everyEntry[:5] {
		require.NoError(f.t, procs.Await("the deletion on "+e, func() bool {
			_, err := f.Entries[e].Client().Get(f.t.Context(), extraKey)
			var refused *operator.StatusError
			return errors.As(err, &refused) && refused.Status == http.StatusNotFound
		}))
	}
	require.NoError(f.t, paused.Signal(syscall.SIGCONT))
	require.NoError(f.t, procs.Await("the deletion on c2", func() bool {
		_, err := paused.Client().Get(f.t.Context(), extraKey)
		var refused *operator.StatusError
		return errors.As(err, &refused) && refused.Status == http.StatusNotFound
	}))
	f.Apply(f.Entries["b1"], extraObject)
	f.writes++
}

// Others take over from readers that die.
func killReaders(f *configFleet) {
	f.StartEntry("a3", "a", "region-of-a", "intervals: {heartbeat: 100ms, watch: 5s}\n")
	f.Ready()
	f.Entries["a1"].Kill()
	delete(f.Entries, "a1")
	begin := time.Now()
	f.mustLabel("b1", "killed", "yes")
	f.await("killed", "yes", "a2", "a3", "b1", "b2", "c1", "c2")
	testfleet.Figure("config_in_force_reader_killed_ms", float64(time.Since(begin).Milliseconds()), "ms")
}
