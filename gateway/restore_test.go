package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

// storeOutage is how long the store is away before it comes back from an older copy.
const storeOutage = 300 * time.Millisecond

// restore makes the store unavailable for a while and then brings it back from a copy.
func (d *deployment) restore(c *metastore.Copy) {
	d.store.SetFaults(metastore.Faults{Down: true})
	<-time.After(storeOutage)
	d.store.Restore(c)
	d.store.SetFaults(metastore.Faults{})
}

// startEntries starts a fleet and waits until all entries know each other.
func (d *deployment) startEntries(count int) []*entry {
	d.t.Helper()
	var entries []*entry
	for i := range count {
		entries = append(entries, d.startEntry(fmt.Sprint("entry-", i+1)))
	}
	for _, e := range entries {
		eventually(d.t, func() bool { return e.Peers() == count-1 })
	}
	return entries
}

// acceptNewestKey waits until all entries accept the newest API key.
func (d *deployment) acceptNewestKey(entries []*entry) {
	d.t.Helper()
	for _, e := range entries {
		eventually(d.t, d.acceptsNewestKey(e))
	}
}

// requireSentTo waits until the next ten requests to an entry all reach one upstream.
func (d *deployment) requireSentTo(e *entry, to *upstream.Server) {
	d.t.Helper()
	eventually(d.t, func() bool {
		for i := range 10 {
			if e.send(d.t, plainCall("status", fmt.Sprint("r-", i))).header.Get("Response-Seal") != "seal-"+to.ID {
				return false
			}
		}
		return true
	})
}

// A store that comes back from an older copy counts its revisions from there. Entries must
// follow its changes although their lists have later revisions; those that don't watch the
// store, too.
func TestChangesAfterARestoreAreIgnored(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	leaving := d.upstream("i-1", counterService)
	older := d.store.Copy()
	entries := d.startEntries(4)
	for range 10 {
		d.addKey()
	}
	d.upstream("i-2", counterService)
	d.acceptNewestKey(entries)
	d.restore(older)
	// The operator and the upstreams write again what they wrote.
	d.configure()
	d.store.DeleteUpstream("i-2")
	next := d.upstream("i-3", counterService)
	d.listUpstream(leaving, "zone-a", counterService, "draining")
	for _, e := range entries {
		d.requireSentTo(e, next)
	}
	d.acceptNewestKey(entries)
}

// Restores in quick succession, each to a copy from before the last one.
func TestChangesAfterRestoresInSeriesAreIgnored(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	leaving := d.upstream("i-1", counterService)
	older := d.store.Copy()
	entries := d.startEntries(4)
	for range 3 {
		d.addKey()
		d.addKey()
		d.acceptNewestKey(entries)
		d.restore(older)
	}
	d.configure()
	next := d.upstream("i-3", counterService)
	d.listUpstream(leaving, "zone-a", counterService, "draining")
	for _, e := range entries {
		d.requireSentTo(e, next)
	}
	d.acceptNewestKey(entries)
}

// The lease is not in the copy, and its holder has gone. Fencing tokens must not be used
// again, and what was reported must not be reported differently by a successor that has not
// counted it.
func TestDutiesAfterARestoreUseATokenAgain(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	older := d.store.Copy()
	holder := d.startEntry("entry-1")
	eventually(t, func() bool { return len(d.reports()) > 0 })
	for i := range 5 {
		require.Equal(t, http.StatusOK, holder.send(t, plainCall("status", fmt.Sprintf("r-%d", i))).status)
	}
	eventually(t, func() bool { return d.reported() == 5 })
	successor := d.startEntry("entry-2")
	eventually(t, func() bool { return successor.Peers() == 1 })
	holder.stop(t)
	before := len(d.reports())
	d.restore(older)
	eventually(t, func() bool { return len(d.reports()) > before })
	require.Len(t, d.requireConsistentDuties(), 2)
}

// The records of entries that registered after the copy are gone. An entry that starts then
// must find the others all the same.
func TestEntriesAreNotFoundAfterARestore(t *testing.T) {
	d := newDeployment(t)
	d.configure()
	d.upstream("i-1", counterService)
	older := d.store.Copy()
	var lookups atomic.Int32
	d.storeHTTP = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, platform.KindEntries) {
			lookups.Add(1)
		}
		d.store.ServeHTTP(w, r)
	}))
	t.Cleanup(d.storeHTTP.Close)
	entries := d.startEntries(4)
	// Each entry looks the others up twice when it starts. After that it may rely on gossip.
	eventually(t, func() bool { return int(lookups.Load()) >= 2*len(entries) })
	d.restore(older)
	late := d.startEntry("entry-5")
	eventually(t, func() bool { return late.Peers() == len(entries) })
}
