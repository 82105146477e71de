package avoidzone

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/route"
	"jaylink/kernel"
)

func TestKeepsPatientRequestsOffTheZones(t *testing.T) {
	f := &Filter{Zones: []string{"a"}}
	cases := []struct {
		name  string
		class api.Class
		zone  string
		keep  bool
	}{
		{"patient in the zone", api.ClassPatient, "a", false},
		{"patient elsewhere", api.ClassPatient, "b", true},
		{"urgent in the zone", api.ClassUrgent, "a", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := &route.Upstream{Spec: &api.UpstreamSpec{AvailabilityZone: c.zone}}
			require.Equal(t, c.keep, f.Keep(time.Time{}, &route.Request{Class: c.class}, u))
		})
	}
}

func TestNeedsAZone(t *testing.T) {
	_, err := kernel.Load("filter.avoid_zone", nil)
	require.ErrorContains(t, err, "zones: missing")
}
