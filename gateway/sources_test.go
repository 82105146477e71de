package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

// acceptsNewestKey returns a condition that holds once an entry accepts the newest API
// key.
func (d *deployment) acceptsNewestKey(e *entry) func() bool {
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

// A watch that hangs without reporting changes must not hide a new version for longer
// than the bound: the entry ends it and watches again.
func TestSilentWatchHidesNoVersion(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	e := d.startEntry("entry-1")
	d.store.SetFaults(metastore.Faults{SilentWatches: true})
	// Ends the current watch, so that the next one hangs.
	d.store.Compact()
	d.addKey()
	d.store.SetFaults(metastore.Faults{})
	eventually(t, d.acceptsNewestKey(e))
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
	eventually(t, d.acceptsNewestKey(e))
}

// An entry that can't reach the store must get new configurations and upstream lists from
// its peers.
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
	eventually(t, d.acceptsNewestKey(two))
	eventually(t, func() bool {
		a := two.send(t, plainCall("status", "r-new"))
		return a.header.Get("Response-Seal") == "seal-i-2"
	})
}

// A configuration or an upstream that can't be decoded must change nothing, and later
// versions must be applied.
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
	eventually(t, d.acceptsNewestKey(e))
}

// Upstreams that all disappear at once may have lost their registrations in an outage of
// the store. They must stay in use until that time has passed.
func TestLapsedUpstreamsAreKeptForAWhile(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	one, two := d.upstream("i-1", counterService), d.upstream("i-2", counterService)
	e := d.startEntry("entry-1")
	d.store.DeleteUpstream("i-1")
	d.store.DeleteUpstream("i-2")
	d.addKey()
	eventually(t, d.acceptsNewestKey(e))
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

// Stop must let streams finish, accept no new connections once the platform has noticed
// that the entry is not ready, and return.
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

// A new lease holder must report a window as it was stored, not by its own counts.
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
	holders := d.requireConsistentDuties()
	require.Len(t, holders, 2)
}

// requireConsistentDuties checks that all reports of a window are alike, that no two holders
// have used the same token and that tokens don't decrease. It returns the holders by token.
func (d *deployment) requireConsistentDuties() map[uint64]string {
	d.t.Helper()
	byWindow, holders, highest := map[int64]string{}, map[uint64]string{}, uint64(0)
	for _, r := range d.store.Duties() {
		window, _, err := r.Usage()
		require.NoError(d.t, err)
		if body, ok := byWindow[window]; ok {
			require.JSONEq(d.t, body, r.Body, "window %d", window)
		}
		byWindow[window] = r.Body
		if holder, ok := holders[r.Token]; ok {
			require.Equal(d.t, holder, r.Holder, "token %d", r.Token)
		}
		holders[r.Token] = r.Holder
		require.GreaterOrEqual(d.t, r.Token, highest)
		highest = r.Token
	}
	return holders
}

func (d *deployment) reports() []metastore.DutyCall { return d.store.Duties() }

// reported returns the sum of the reported counts, with each window counted once.
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
