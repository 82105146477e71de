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

// configFleet has two entries in each of three zones and a configuration in effect.
type configFleet struct {
	*testfleet.Fleet
	t       *testing.T
	history *history
	writes  int // accepted writes
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

// inEffect reports whether a label of the service has a value on an entry.
func (f *configFleet) inEffect(entry, name, value string) bool {
	o, err := f.Entries[entry].Client().Get(context.Background(), serviceKey)
	return err == nil && o.Labels[name] == value
}

// awaitLabel waits until a label has a value on the entries.
func (f *configFleet) awaitLabel(name, value string, entries ...string) {
	f.t.Helper()
	for _, e := range entries {
		require.NoError(f.t, procs.Await(name+"="+value+" on "+e, func() bool { return f.inEffect(e, name, value) }))
	}
}

// awaitConvergence ends all faults and waits until every entry has exactly the object
// versions that the platform stores.
func (f *configFleet) awaitConvergence() {
	f.t.Helper()
	f.SetPlatformFaults(platformstandin.Faults{})
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
		require.NoError(f.t, procs.Await("the platform's objects on "+e.Name, func() bool {
			list, err := e.Client().List(f.t.Context(), "")
			have := map[api.Key]uint64{}
			for _, o := range list {
				have[o.Key()] = o.Version
			}
			return err == nil && fmt.Sprint(have) == fmt.Sprint(want)
		}))
	}
}

var allEntries = []string{"a1", "a2", "b1", "b2", "c1", "c2"}

// Every accepted write takes effect on all entries, and no entry goes back to an older
// version, under faults of the platform, the network and the entries.
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
			f.awaitConvergence()
			f.history.stop()
			for _, v := range f.history.violations {
				t.Error(v)
			}
			require.Positive(t, f.history.polls)
			testfleet.Report(t, testfleet.Guarantee{Number: 7, Fault: c.fault, Cases: f.writes, Violations: len(f.history.violations)})
		})
	}
}

// Operators set different labels concurrently through all entries; every label takes
// effect.
func raceOnDifferentLabels(f *configFleet) {
	var wg sync.WaitGroup
	errs := make([]error, len(allEntries))
	for i, e := range allEntries {
		wg.Go(func() {
			_, errs[i] = f.Entries[e].Client().Label(context.Background(), serviceKey, operator.LabelRequest{Set: api.Labels{"from-" + e: "yes"}})
		})
	}
	wg.Wait()
	for i, e := range allEntries {
		require.NoError(f.t, errs[i], e)
		f.writes++
		f.awaitLabel("from-"+e, "yes", allEntries...)
	}
}

// Operators change one label from the same value concurrently. One wins, the others
// get a conflict with the current object and its writer, and the winner's value takes
// effect.
func raceOnOneLabel(f *configFleet) {
	const rounds = 5
	before := ""
	for round := range rounds {
		var wg sync.WaitGroup
		var mu sync.Mutex
		winner, won := "", 0
		o, err := f.Entries["a1"].Client().Get(f.t.Context(), serviceKey)
		require.NoError(f.t, err)
		f.awaitLabel("season", before, allEntries...)
		for _, e := range allEntries {
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
					f.t.Errorf("the conflict for %s lacks the current object or its writer: %+v", e, current)
				}
			})
		}
		wg.Wait()
		require.Equal(f.t, 1, won, "round %d", round)
		f.writes++
		f.awaitLabel("season", winner, allEntries...)
		before = winner
	}
}

// A write whose answer is lost is resolved as accepted and takes effect on all
// entries.
func loseWriteAnswers(f *configFleet) {
	for i, e := range allEntries {
		f.SetPlatformFaults(platformstandin.Faults{LoseAnswers: 1 + i%2})
		f.mustLabel(e, "lost-"+e, "yes")
		f.awaitLabel("lost-"+e, "yes", allEntries...)
	}
}

// A write that the platform drops without an answer is sent again with the same token.
func dropWrites(f *configFleet) {
	for i, e := range allEntries {
		f.SetPlatformFaults(platformstandin.Faults{DropWrites: 1 + i%2})
		f.mustLabel(e, "dropped-"+e, "yes")
		f.awaitLabel("dropped-"+e, "yes", allEntries...)
	}
}

// Reads and watches that return an older state do not revert any entry, including
// one that restarts.
func readStale(f *configFleet) {
	for i := range 5 {
		f.mustLabel(allEntries[i], "stale", fmt.Sprint(i))
	}
	f.awaitLabel("stale", "4", allEntries...)
	f.history.stop()
	f.SetPlatformFaults(platformstandin.Faults{StaleBy: 3})
	e := f.Entries["b1"]
	e.Kill()
	f.Restart(e)
	f.Ready()
	next := watchHistory(f.t, f.Fleet)
	f.awaitLabel("stale", "4", allEntries...)
	f.SetPlatformFaults(platformstandin.Faults{StaleBy: 2})
	f.mustLabel("c1", "stale", "5")
	f.awaitLabel("stale", "5", allEntries...)
	next.polls += f.history.polls
	next.violations = append(next.violations, f.history.violations...)
	f.history = next
}

// Watches replay old events while labels change.
func replayWatch(f *configFleet) {
	var start uint64
	for i := range 6 {
		f.SetPlatformFaults(platformstandin.Faults{ReplayFrom: &start})
		value := fmt.Sprint(i)
		f.mustLabel(allEntries[i], "replayed", value)
		f.awaitLabel("replayed", value, allEntries...)
	}
}

// Watches from a compacted revision fail, and the readers list all objects instead.
func compactWatch(f *configFleet) {
	f.SetPlatformFaults(platformstandin.Faults{Outage: true})
	f.SetPlatformFaults(platformstandin.Faults{CompactedAt: 1 << 40})
	f.mustLabel("a1", "compacted", "yes")
	f.awaitLabel("compacted", "yes", allEntries...)
	f.SetPlatformFaults(platformstandin.Faults{})
	f.mustLabel("b2", "compacted", "no")
	f.awaitLabel("compacted", "no", allEntries...)
}

// An entry that starts during an outage of the platform gets the newest version from
// its peers and accepts no write.
func startDuringOutage(f *configFleet) {
	f.mustLabel("a1", "newest", "yes")
	f.SetPlatformFaults(platformstandin.Faults{Outage: true})
	f.StartEntry("b3", "b", "region-of-b", "intervals: {heartbeat: 100ms, watch: 5s}\n")
	f.Ready()
	f.awaitLabel("newest", "yes", "b3")
	require.Error(f.t, f.label("b3", "newest", "no"), "no write can be accepted during an outage")
	require.True(f.t, f.inEffect("b3", "newest", "yes"))
}

// A zone without a connection to the platform gets changes from its peers.
func cutFromPlatform(f *configFleet) {
	f.SetPlatformFaults(platformstandin.Faults{BlockZones: []string{"c"}})
	for i, e := range []string{"a1", "a2", "b1", "b2"} {
		value := fmt.Sprint(i)
		f.mustLabel(e, "cut", value)
		f.awaitLabel("cut", value, allEntries...)
	}
}

// A zone without a connection to the platform and to its peers keeps its
// configuration and catches up when it is connected again.
func cutFromBoth(f *configFleet) {
	f.mustLabel("a1", "cut", "before")
	f.awaitLabel("cut", "before", allEntries...)
	f.SetPlatformFaults(platformstandin.Faults{BlockZones: []string{"c"}})
	f.CutZone("c")
	f.mustLabel("b1", "cut", "meanwhile")
	f.awaitLabel("cut", "meanwhile", "a1", "a2", "b1", "b2")
	for _, e := range []string{"c1", "c2"} {
		require.True(f.t, f.inEffect(e, "cut", "before"), e)
	}
	f.HealZones()
	f.awaitLabel("cut", "meanwhile", allEntries...)
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
	for _, e := range allEntries[:5] {
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

// Other entries take over when the entry that reads the configuration for its zone is
// killed.
func killReaders(f *configFleet) {
	f.StartEntry("a3", "a", "region-of-a", "intervals: {heartbeat: 100ms, watch: 5s}\n")
	f.Ready()
	f.Entries["a1"].Kill()
	delete(f.Entries, "a1")
	begin := time.Now()
	f.mustLabel("b1", "killed", "yes")
	f.awaitLabel("killed", "yes", "a2", "a3", "b1", "b2", "c1", "c2")
	testfleet.Figure("config_in_force_reader_killed_ms", float64(time.Since(begin).Milliseconds()), "ms")
}
