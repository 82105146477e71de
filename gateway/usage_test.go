package gateway

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/objects"
	"jaylink/platform"
	"jaylink/standin/metastore"
)

// A holder that could not store a report has lost the lease, and its successor has reported the
// window by its own counts. When the store has lost that report and the first one holds the
// lease again, it must not report the window by what it had counted.
func TestReportThatWasNeverStoredIsSentAfterARestore(t *testing.T) {
	store := metastore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	limits := bounds()
	limits.UsageWindow = time.Second
	g := New(platform.Settings{Name: "e", Bounds: limits, Store: server.Listener.Addr().String()}, slog.New(slog.DiscardHandler))
	window := g.newestDueWindow(time.Now()) + 1
	older, d := store.Copy(), newDutyState()
	store.SetFaults(metastore.Faults{Down: true})
	_, err := g.storeUsageReport(t.Context(), d, window)
	require.ErrorIs(t, err, objects.ErrUnavailable)
	store.SetFaults(metastore.Faults{})
	store.Put(platform.KindUsage, usageName(window), platform.UsageReport{Window: window, Counts: map[string]int{"c": 3}})
	store.Restore(older)
	_, err = g.storeUsageReport(t.Context(), d, window)
	require.ErrorIs(t, err, errReportLost)
	// A report that was stored is remembered, and stored and sent again as it was.
	stored, err := g.storeUsageReport(t.Context(), d, window+1)
	require.NoError(t, err)
	store.Restore(older)
	again, err := g.storeUsageReport(t.Context(), d, window+1)
	require.NoError(t, err)
	require.Equal(t, stored, again)
	require.NotEmpty(t, store.Spec(platform.KindUsage, usageName(window+1)))
}
