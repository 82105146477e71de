package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Requests whose connection ends without a whole answer are seen.
func TestLostRequestsAreSeen(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	cases := map[string]struct {
		v        observation
		passedOn bool
		lost     bool
	}{
		"answered":                   {observation{sent: at(1), ended: at(90), status: 200, complete: true}, true, false},
		"refused":                    {observation{sent: at(1), ended: at(900), status: 503, complete: true}, false, false},
		"closed after it was passed": {observation{sent: at(1), ended: at(10)}, true, true},
		"cut off in its answer":      {observation{sent: at(1), ended: at(50), status: 200}, true, true},
		"crossed a close":            {observation{sent: at(1), ended: at(200)}, false, false},
		"closed after the slack":     {observation{sent: at(1), ended: at(202)}, false, true},
		"never sent":                 {observation{ended: at(500)}, false, false},
		"given up by its caller":     {observation{sent: at(1), ended: at(500), gaveUp: true}, true, false},
		"deadline reached":           {observation{sent: at(1), ended: at(4000)}, true, false},
		"just before the deadline":   {observation{sent: at(1), ended: at(3999)}, true, true},
		"refusal that breaks off":    {observation{sent: at(1), ended: at(300), status: 503}, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.v.started = begin
			require.Equal(t, c.lost, c.v.lost(c.passedOn, lossSlack) != "")
		})
	}
}
