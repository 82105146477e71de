package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetOf returns the peers of an entry in a fleet of the given size, half of them in its
// region.
func fleetOf(entries int) peerList {
	var list peerList
	for i := range entries - 1 {
		address := &net.UDPAddr{IP: net.IPv4(10, 0, byte(i>>8), byte(i)), Port: 7500}
		if i%2 == 0 {
			list.near = append(list.near, address)
		} else {
			list.far = append(list.far, address)
		}
	}
	return list
}

// In a fleet of any size every entry must receive the loads and totals of every other
// within the times that placement and allowances are designed for.
func TestGossipReachesEveryEntryInTime(t *testing.T) {
	for entries := 2; entries <= 400; entries += 1 + entries/16 {
		peers := fleetOf(entries)
		g := &Gateway{}
		g.gossipInterval.Store(int64(minGossipInterval))
		schedule := newGossipSchedule()
		schedule.totalsBytes = len(totalsMessage(16).encode()) + datagramOverhead
		loadsTime, totalsTime := g.gossipCycleTime(peers), schedule.totalsCycleTime(peers)
		loads, totals := map[*net.UDPAddr]time.Duration{}, map[*net.UDPAddr]time.Duration{}
		for now := minGossipInterval; now < 4*totalsTime; now += minGossipInterval {
			for _, s := range schedule.next(peers, gossipFanout, minGossipInterval) {
				for _, to := range s.targets {
					if s.loads {
						require.LessOrEqual(t, now-loads[to], 2*loadsTime, "%d entries", entries)
						loads[to] = now
					}
					if s.totals {
						require.LessOrEqual(t, now-totals[to], 2*totalsTime+minGossipInterval, "%d entries", entries)
						totals[to] = now
					}
				}
			}
		}
		require.Len(t, totals, entries-1, "%d entries", entries)
	}
}

// Totals must reach all peers within totalsInterval in fleets up to the size of the
// users' grown deployments, with some reserve.
func TestTotalsOfMediumFleetsAreFresh(t *testing.T) {
	schedule := newGossipSchedule()
	schedule.totalsBytes = len(totalsMessage(16).encode()) + datagramOverhead
	require.Equal(t, totalsInterval, schedule.totalsCycleTime(fleetOf(90)))
}

// At the size that the system is designed for, gossip must not exceed the bandwidth that
// a node has for control traffic, which it shares with updates of the configuration and
// the upstream list.
func TestWordsFitIntoTheControlBudget(t *testing.T) {
	const entries, loads, budget = 340, 10, 20_000
	peers, schedule, g := fleetOf(entries), newGossipSchedule(), &Gateway{}
	schedule.loadsBytes = len(testMessage(loads, 0, false).encode()) + datagramOverhead
	schedule.totalsBytes = len(totalsMessage(16).encode()) + datagramOverhead
	bytes, passed, interval := 0, time.Duration(0), minGossipInterval
	for passed < 10*time.Minute {
		loadsBytes := 0
		for _, s := range schedule.next(peers, gossipFanout, interval) {
			switch {
			case s.loads:
				loadsBytes = len(s.targets) * schedule.loadsBytes
				bytes += loadsBytes
			case s.totals:
				bytes += len(s.targets) * schedule.totalsBytes
			}
		}
		interval = g.roundInterval(loadsBytes, len(peers.near))
		passed += interval
	}
	perSecond := float64(bytes) / passed.Seconds()
	t.Logf("%.0f bytes per second", perSecond)
	require.Less(t, perSecond, float64(budget))
}
