package budget

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
	"jaylink/decision/retry"
)

func TestBudgetIsSpentOnlyOnAttemptsThatReachedAnUpstream(t *testing.T) {
	cases := []struct {
		why  reason.Reason
		free bool
	}{
		{reason.ConnectFailed, true},
		{reason.UpstreamLeaving, true},
		{reason.StreamBroken, false},
		{reason.NoAnswer, false},
		{reason.UpstreamError, false},
	}
	for _, c := range cases {
		r := &Rule{Share: 0.2, Burst: 2}
		require.NoError(t, r.Provision())
		allowed := 0
		for range 10 {
			a := &retry.Attempt{Reason: c.why}
			if r.Decide(a).Refusal == "" {
				r.Retried(a)
				allowed++
			}
		}
		if c.free {
			require.Equal(t, 10, allowed, c.why)
			continue
		}
		require.Equal(t, 2, allowed, c.why)
	}
}
