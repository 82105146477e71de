package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/route"
)

// At a high rate of requests, an entry must not start more of them in the other region
// than its share of the budget and the accumulated burst allow, and at least half as
// many.
func TestBudgetBoundsTrafficBetweenRegions(t *testing.T) {
	const entries, seconds = 10, 100
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := &route.Request{Region: "here", Zone: "a"}
	near := &route.Upstream{Spec: &api.UpstreamSpec{Region: "here", AvailabilityZone: "a"}}
	far := &route.Upstream{Spec: &api.UpstreamSpec{Region: "there", AvailabilityZone: "b"}}
	s := (&Scorer{}).ModuleInfo().New().(*Scorer)
	started := 0
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		s.Started(now, r, near, entries)
		if s.Score(now, r, far) == s.OtherRegion {
			s.Started(now, r, far, entries)
			started++
		}
	}
	allowed := seconds*int(s.LinkRate)/entries/int(s.RequestBytes) + burstRequests
	require.LessOrEqual(t, started, allowed)
	require.Greater(t, started, allowed/2)
	require.Equal(t, s.OverBudget, s.Score(now, r, far))
	require.Zero(t, s.Score(now, r, near))
	require.Equal(t, s.OtherRegion, s.Score(now.Add(time.Minute), r, far))
}
