package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/decision/retry"
	"jaylink/upstream"
)

func TestWatchdogEndsAttemptsWithoutProgress(t *testing.T) {
	limits := retry.Limits{FirstByte: 2 * time.Second, Idle: time.Second}
	canceled := upstream.Result{Outcome: decision.OutcomeCanceled, Ran: reason.RanUnknown}
	done := upstream.Result{Outcome: decision.OutcomeDone, Ran: reason.RanYes}
	cases := []struct {
		name     string
		limits   retry.Limits
		pieces   []time.Duration // pauses before each piece
		rest     time.Duration   // pause until the attempt ends by itself
		result   upstream.Result
		want     decision.Outcome
		canceled bool
	}{
		{"answer in time", limits, []time.Duration{time.Second, 900 * time.Millisecond}, 500 * time.Millisecond, done, decision.OutcomeDone, false},
		{"no first byte", limits, nil, time.Minute, canceled, decision.OutcomeNoAnswer, true},
		{"stops in the middle", limits, []time.Duration{time.Second, 900 * time.Millisecond}, time.Minute, canceled, decision.OutcomeBroken, true},
		{"answer and timer at once", limits, nil, 3 * time.Second, done, decision.OutcomeDone, true},
		{"no limits", retry.Limits{}, []time.Duration{time.Hour}, time.Hour, done, decision.OutcomeDone, false},
		{"no idle limit", retry.Limits{FirstByte: time.Second}, []time.Duration{0}, time.Hour, done, decision.OutcomeDone, false},
		{"canceled by the caller", limits, nil, time.Second, canceled, decision.OutcomeCanceled, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := watch(cancel, tc.limits)
				for _, pause := range tc.pieces {
					time.Sleep(pause)
					w.advanced()
				}
				time.Sleep(tc.rest)
				require.Equal(t, tc.canceled, ctx.Err() != nil)
				require.Equal(t, tc.want, w.stop(tc.result).Outcome)
			})
		})
	}
}
