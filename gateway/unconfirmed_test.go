package gateway

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/platform"
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
