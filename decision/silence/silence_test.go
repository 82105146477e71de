package silence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestThatMayNotRunElsewhereIsMoved(t *testing.T) {
	cases := map[string]struct {
		attempt Attempt
		want    bool
	}{
		"attempts left":           {Attempt{Repeatable: true, Attempts: 1, MaxAttempts: 2}, true},
		"last attempt":            {Attempt{Repeatable: true, Attempts: 2, MaxAttempts: 2}, false},
		"may run once":            {Attempt{Attempts: 1, MaxAttempts: 2}, false},
		"can't be gone on with":   {Attempt{Repeatable: true, Partial: true, Attempts: 1, MaxAttempts: 2}, false},
		"only one attempt is set": {Attempt{Repeatable: true, Attempts: 1, MaxAttempts: 1}, false},
	}
	for name, c := range cases {
		require.Equal(t, c.want, c.attempt.MayMove(), name)
	}
}

func TestSilentUpstreamIsGivenUpForNothingBetter(t *testing.T) {
	cases := map[string]struct {
		alternative Alternative
		want        bool
	}{
		"in time":           {Alternative{true, 200 * time.Millisecond, time.Second}, true},
		"no upstream":       {Alternative{false, 0, time.Second}, false},
		"would be too late": {Alternative{true, 2 * time.Second, time.Second}, false},
		"hardly any time":   {Alternative{true, 0, 10 * time.Millisecond}, false},
	}
	for name, c := range cases {
		require.Equal(t, c.want, c.alternative.Suits(), name)
	}
}
