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

// An entry that was suspended does not deny what it can't know: until the store or
// a peer has confirmed its configuration it asks callers to come back.
func TestUnconfirmedConfigurationDeniesNothing(t *testing.T) {
	g := New(platform.Settings{Name: "e", Bounds: bounds()}, slog.New(slog.DiscardHandler))
	g.confirmed.Store(int64(steady()))
	no := g.unknown(http.StatusUnauthorized, reason.UnknownCustomer)
	require.Equal(t, http.StatusUnauthorized, no.status)
	g.confirmed.Store(int64(steady() - 2*time.Second))
	no = g.unknown(http.StatusUnauthorized, reason.UnknownCustomer)
	require.Equal(t, http.StatusServiceUnavailable, no.status)
	require.Equal(t, reason.NotReady, no.why)
	require.Positive(t, no.retryAfter)
}
