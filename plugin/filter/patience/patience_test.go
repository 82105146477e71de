package patience

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/route"
)

func TestPatientRequestsWaitForCheapCapacity(t *testing.T) {
	accepted := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &Filter{Wait: defaultWait, MaxPrice: defaultMaxPrice}
	cases := []struct {
		name    string
		class   api.Class
		tried   []string
		timeout time.Duration
		waited  time.Duration
		price   float64
		want    bool
	}{
		{"cheap, no prefix", api.ClassPatient, nil, time.Hour, 0, 0.5, true},
		{"expensive", api.ClassPatient, nil, time.Hour, 0, 2, false},
		{"expensive, after the wait", api.ClassPatient, nil, time.Hour, 5 * time.Second, 2, true},
		{"expensive, near the deadline", api.ClassPatient, nil, 20 * time.Second, time.Second, 2, true},
		{"expensive, after a failure", api.ClassPatient, []string{"u"}, time.Hour, 0, 2, true},
		{"interactive does not wait", api.ClassInteractive, nil, time.Hour, 0, 2, true},
		{"urgent does not wait", api.ClassUrgent, nil, time.Hour, 0, 2, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := &route.Request{Class: tc.class, Tried: tc.tried, Accepted: accepted, Deadline: accepted.Add(tc.timeout)}
			u := &route.Upstream{RelativePrice: tc.price}
			require.Equal(t, tc.want, f.Keep(accepted.Add(tc.waited), r, u))
		})
	}
}
