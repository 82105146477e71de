package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/platform"
	"jaylink/standin/metastore"
)

// An entry that was suspended may have an outdated configuration. Until the store or a
// peer has confirmed it, callers with unknown keys are asked to retry instead of being
// denied.
func TestUnconfirmedConfigurationDeniesNothing(t *testing.T) {
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	g.confirmedAt.Store(int64(monotonic()))
	refused := g.unknownRefusal(http.StatusUnauthorized, reason.UnknownCustomer)
	require.Equal(t, http.StatusUnauthorized, refused.status)
	g.confirmedAt.Store(int64(monotonic() - 2*time.Second))
	refused = g.unknownRefusal(http.StatusUnauthorized, reason.UnknownCustomer)
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.Equal(t, reason.NotReady, refused.reason)
	require.Positive(t, refused.retryAfter)
}

// An entry that starts just after a restore reads the configuration of the copy. It must not
// deny a key that was added since, but ask the caller to come back.
func TestEntryThatStartsAfterARestoreDeniesTheNewestKey(t *testing.T) {
	store := metastore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	g := New(platform.Settings{Name: "e", Bounds: bounds(), Store: server.Listener.Addr().String()}, slog.New(slog.DiscardHandler))
	statusAfterList := func(startedAt time.Duration) int {
		_, err := g.objects.List(t.Context(), platform.KindConfiguration)
		require.NoError(t, err)
		g.startedAt = startedAt
		g.confirmedAt.Store(int64(monotonic() - time.Hour))
		g.confirmFromStore()
		return g.unknownRefusal(http.StatusUnauthorized, reason.UnknownCustomer).status
	}
	justNow, longAgo := monotonic()+time.Hour, monotonic()-time.Hour
	require.Equal(t, http.StatusUnauthorized, statusAfterList(justNow), "the store was never restored")
	store.Restore(store.Copy())
	require.Equal(t, http.StatusServiceUnavailable, statusAfterList(justNow))
	require.Equal(t, http.StatusUnauthorized, statusAfterList(longAgo), "it keeps what it knew, or the operator has written again")
}
