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

// A restored store, and peers that read it, may lack the newest configuration. Until the operator
// has had time to write it again, an entry must not deny a key that was added since, but ask the
// caller to come back.
func TestEntryDeniesTheNewestKeyAfterARestore(t *testing.T) {
	store := metastore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	newGateway := func() *Gateway {
		return New(platform.Settings{Name: "e", Bounds: bounds(), Store: server.Listener.Addr().String()}, slog.New(slog.DiscardHandler))
	}
	statusAfterList := func(g *Gateway) int {
		_, err := g.objects.List(t.Context(), platform.KindConfiguration)
		require.NoError(t, err)
		g.confirmConfiguration()
		return g.unknownRefusal(http.StatusUnauthorized, reason.UnknownCustomer).status
	}
	running := newGateway()
	require.Equal(t, http.StatusUnauthorized, statusAfterList(running), "the store was never restored")
	store.Restore(store.Copy())
	for _, g := range []*Gateway{running, newGateway()} {
		require.Equal(t, http.StatusServiceUnavailable, statusAfterList(g))
		g.restoredAt.Store(int64(monotonic() - rewriteTime))
		require.Equal(t, http.StatusUnauthorized, statusAfterList(g), "the operator has written again")
		g.noticeEra(2)
		require.Equal(t, http.StatusUnauthorized, statusAfterList(g), "it is no news")
		g.noticeEra(3)
		require.Equal(t, http.StatusServiceUnavailable, statusAfterList(g), "a peer has noticed the next restore")
	}
}
