package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
)

type zoneFilter struct{}

func (*zoneFilter) Keep(_ time.Time, _ *Request, u *Upstream) bool {
	return u.Spec.AvailabilityZone != "out"
}

type priceScorer struct{}

func (*priceScorer) Score(_ time.Time, _ *Request, u *Upstream) float64 { return u.Spec.PricePerHour }

func TestExplainReturnsBestAndCountsRejected(t *testing.T) {
	table := NewTable([]Filter{&zoneFilter{}}, []Scorer{&priceScorer{}})
	sel, err := api.ParseSelector("*")
	require.NoError(t, err)
	var objects []*api.Object
	for i, price := range []float64{5, 3, 9, 1, 3, 7} {
		objects = append(objects, &api.Object{
			Name: string(rune('a' + i)), Spec: &api.UpstreamSpec{AvailabilityZone: "in", PricePerHour: price},
		})
	}
	objects = append(objects, &api.Object{Name: "x", Spec: &api.UpstreamSpec{AvailabilityZone: "out"}})
	table.SetObjects(objects)
	table.exhaustive = true // so that Pick examines every upstream
	r := &Request{Upstreams: sel}
	require.Equal(t, "d", table.Pick(time.Time{}, r).Name)
	best, rejected := table.Explain(time.Time{}, r, 3)
	var names []string
	for _, c := range best {
		names = append(names, c.Upstream)
	}
	require.Equal(t, []string{"d", "b", "e"}, names)
	require.Equal(t, []ScorerScore{{Scorer: "route", Score: 1}}, best[0].Parts)
	require.Equal(t, map[string]int{"route": 1}, rejected)
}
