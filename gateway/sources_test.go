package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

// inForce reports whether an entry knows the newest key.
func (d *deployment) inForce(e *entry) func() bool {
	return func() bool {
		c := plainCall("status", "r-key")
		c.Key = d.keys[len(d.keys)-1]
		return e.send(d.t, c).status == http.StatusOK
	}
}

func (d *deployment) addKey() {
	d.keys = append(d.keys, fmt.Sprintf("key-%d", len(d.keys)))
	d.configure()
}

// A watch that has gone silent hides no version for longer than the bound: the
// entry asks again by itself.
func TestSilentWatchHidesNoVersion(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	d.store.SetFaults(metastore.Faults{SilentWatches: true})
	// Ends the watch under way, so that the next one is silent.
	d.store.Compact()
	d.addKey()
	d.store.SetFaults(metastore.Faults{})
	eventually(t, d.inForce(e))
}

func TestHistoryThatIsGoneIsListedAgain(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	for range 3 {
		d.addKey()
		d.store.Compact()
	}
	eventually(t, d.inForce(e))
}

// An entry that the store turns away hears versions and upstreams from others.
func TestCutOffEntryHearsFromOthers(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	old := d.upstream("i-1", counterService)
	cut := newOutageProxy(t, d.store)
	one := d.startEntry("entry-1")
	d.storeHTTP = cut.server
	two := d.startEntry("entry-2")
	eventually(t, func() bool { return one.Peers() == 1 && two.Peers() == 1 })
	cut.down.Store(true)
	d.addKey()
	d.upstream("i-2", counterService)
	d.listUpstream(old, "zone-a", counterService, "draining")
	eventually(t, d.inForce(two))
	eventually(t, func() bool {
		a := two.send(t, plainCall("status", "r-new"))
		return a.header.Get("Response-Seal") == "seal-i-2"
	})
}

// A version that can't be read changes nothing, and a later one is taken.
func TestUnreadableObjectsChangeNothing(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	d.store.PutRaw("config", "main", `{"version":"high"}`)
	for i, raw := range []string{`{}`, `"text"`, `{"service":7}`, `{"service":"counter","address":"a","zone":"zone-a","state":"odd"}`, `null`} {
		d.store.PutRaw("servers", fmt.Sprintf("bad-%d", i), raw)
	}
	require.Equal(t, http.StatusOK, e.send(t, plainCall("status", "r-1")).status)
	d.addKey()
	eventually(t, d.inForce(e))
}

// Upstreams that vanish all at once may have lapsed with the store; they are used
// until it is clear that they have gone.
func TestLapsedUpstreamsAreKeptForAWhile(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	one, two := d.upstream("i-1", counterService), d.upstream("i-2", counterService)
	e := d.startEntry("entry-1")
	d.store.DeleteUpstream("i-1")
	d.store.DeleteUpstream("i-2")
	d.addKey()
	eventually(t, d.inForce(e))
	d.listUpstream(one, "zone-a", counterService, "ready")
	d.listUpstream(two, "zone-a", counterService, "ready")
	require.Equal(t, http.StatusOK, e.send(t, plainCall("status", "r-1")).status)
}

// A leaving upstream gets nothing new.
func TestDrainingUpstreamGetsNothingNew(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	leaving, staying := d.upstream("i-1", counterService), d.upstreamIn("zone-b", "i-2", counterService)
	e := d.startEntry("entry-1")
	d.listUpstream(leaving, "zone-a", counterService, "draining")
	eventually(t, func() bool {
		return e.send(t, plainCall("status", "r-1")).header.Get("Response-Seal") == "seal-i-2"
	})
	before := len(leaving.Runs())
	for i := range 20 {
		e.send(t, plainCall("status", fmt.Sprintf("s-%d", i)))
	}
	require.Len(t, leaving.Runs(), before)
	require.NotEmpty(t, staying.Runs())
}

// A stop ends streams in full, takes no new connection once the platform has
// noticed, and ends.
func TestStopEndsStreamsAndClosesListeners(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	engine := d.upstream("i-1", engineService)
	e := d.startEntry("entry-1")
	engine.SetFault(upstream.Hold)
	got := make(chan answer, 1)
	go func() { got <- e.send(t, streamCall("stream", "r-1")) }()
	eventually(t, func() bool { return len(engine.Runs()) == 1 })
	stopped := make(chan struct{})
	go func() {
		e.stop(t)
		close(stopped)
	}()
	eventually(t, func() bool { return !e.ready() })
	eventually(t, func() bool {
		c, err := newDialer().Dial("tcp", e.settings.Front)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	engine.Release()
	a := <-got
	require.NoError(t, a.err)
	require.Equal(t, completeStream(), a.body)
	<-stopped
}

// A successor sends a window's report as it was fixed, not as it counts itself.
func TestUsageIsReportedAlikeByASuccessor(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	eventually(t, func() bool { return len(d.reports()) > 0 })
	for i := range 5 {
		require.Equal(t, http.StatusOK, e.send(t, plainCall("status", fmt.Sprintf("r-%d", i))).status)
	}
	eventually(t, func() bool { return d.reported() == 5 })
	e.stop(t)
	before := len(d.reports())
	d.startEntry("entry-2")
	eventually(t, func() bool { return len(d.reports()) > before })
	byWindow := map[int64]string{}
	holders := map[uint64]string{}
	for _, r := range d.store.Duties() {
		window, _, err := r.Usage()
		require.NoError(t, err)
		if body, ok := byWindow[window]; ok {
			require.JSONEq(t, body, r.Body)
		}
		byWindow[window] = r.Body
		if holder, ok := holders[r.Token]; ok {
			require.Equal(t, holder, r.Holder)
		}
		holders[r.Token] = r.Holder
	}
	require.Len(t, holders, 2)
}

func (d *deployment) reports() []metastore.DutyCall { return d.store.Duties() }

// reported sums up what was reported, each window once.
func (d *deployment) reported() int {
	windows := map[int64]int{}
	for _, r := range d.reports() {
		if window, counts, err := r.Usage(); err == nil {
			windows[window] = counts[customer]
		}
	}
	sum := 0
	for _, n := range windows {
		sum += n
	}
	return sum
}
