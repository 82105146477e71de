package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/platform"
	"jaylink/serving"
)

// The next attempt of a request is reserved and then not made, again and again. What it took from the
// retry budget, and the permit of a limited upstream, must be there for the next one.
func TestReservationThatIsNotUsedStaysTaken(t *testing.T) {
	for name, limit := range map[string]float64{"unlimited": 0, "limited": 2} {
		t.Run(name, func(t *testing.T) {
			retryBounds := bounds()
			retryBounds.RetryExtra, retryBounds.RetryWindow = 3, time.Hour
			g := New(platform.Settings{Name: "e", Bounds: retryBounds}, slog.New(slog.DiscardHandler))
			other := serving.Upstream{ID: "i-2", Service: "s"}
			g.table.SetUpstreams([]serving.Upstream{{ID: "i-1", Service: "s"}, other})
			if limit > 0 {
				g.stateLimit(other, limit)
			}
			r := &request{
				http: httptest.NewRequest(http.MethodGet, "/a/1", nil), route: &serving.Route{Idempotent: true, MaxAttempts: 2},
				service: &serving.Service{Name: "s"}, deadline: time.Now().Add(time.Minute),
			}
			r.progress.tried, r.progress.attempts = []string{"i-1"}, 1
			for n := range 20 {
				require.True(t, g.reserveAlternative(r, 1), "after %d reservations", n)
				require.Equal(t, other.ID, r.progress.reserved.choice.Upstream.ID)
				require.Equal(t, limit > 0, r.progress.reserved.choice.Limited)
				g.releaseReserved(r)
				require.Nil(t, r.progress.reserved)
			}
		})
	}
}

// stateLimit makes an upstream state a limit two seconds ago, to an entry that is alone.
func (g *Gateway) stateLimit(u serving.Upstream, perSecond float64) {
	now := g.trueTime()
	g.limits.SetFleet(0, 0)
	for age := 5 * time.Second; age >= 0; age -= time.Second {
		g.limits.Tick(now.Add(-age))
	}
	at := now.Add(-2 * time.Second)
	g.limits.Answer(u.Instance(), &perSecond, at, at)
	g.table.RefreshLimits()
}
