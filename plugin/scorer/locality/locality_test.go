package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/route"
)

// However many requests come, the entries together start no more in the other
// region than the link's budget allows, but for what they had saved up.
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
	allowed := seconds*int(s.Link)/entries/int(s.Answer) + burst
	require.LessOrEqual(t, started, allowed)
	require.Greater(t, started, allowed/2)
	require.Equal(t, s.OverBudget, s.Score(now, r, far))
	require.Zero(t, s.Score(now, r, near))
	require.Equal(t, s.OtherRegion, s.Score(now.Add(time.Minute), r, far))
}
