package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
	"jaylink/peer/peerpb"
)

func TestUsageOfSilentPeersExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var events []decision.Event
		x := &usageExchange{
			own:        func() map[string]int { return map[string]int{"a": 1, "b": 3, "c": 1} },
			step:       func(ev decision.Event) { events = append(events, ev) },
			lastReport: map[string]time.Time{},
		}
		own := x.Own()
		require.Equal(t, "b", own[0].Customer)
		require.Equal(t, "a", own[1].Customer)
		x.SetPeer("peer", []*peerpb.Usage{{Customer: "a", InFlight: 2}})
		x.SetPeer("idle", nil)
		x.expire(time.Now())
		require.Len(t, events, 2)
		require.Equal(t, decision.UsageEvent{Peer: "idle", InFlight: map[string]int{}}, events[1])
		time.Sleep(usageTTL)
		x.SetPeer("peer", nil)
		time.Sleep(time.Second)
		x.expire(time.Now())
		require.Equal(t, decision.UsageEvent{Peer: "idle"}, events[3])
		require.Len(t, events, 4)
	})
}
