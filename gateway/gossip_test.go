package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetOf returns the other entries of a fleet, half of them in this region.
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

// In a fleet of any size every entry hears of every other, loads and totals, within
// the times that placement and allowances go by.
func TestEveryEntryHearsTheTotals(t *testing.T) {
	for entries := 2; entries <= 400; entries += 1 + entries/16 {
		peers := fleetOf(entries)
		g := &Gateway{}
		g.gossipInterval.Store(int64(tellInterval))
		telling := newTelling()
		telling.totalsBytes = len(testTotals(16).encode()) + datagramHeader
		loadsTime, totalsTime := g.wordTime(peers), telling.totalsTime(peers)
		loads, totals := map[*net.UDPAddr]time.Duration{}, map[*net.UDPAddr]time.Duration{}
		for now := tellInterval; now < 4*totalsTime; now += tellInterval {
			for _, s := range telling.next(peers, tellFanout, tellInterval) {
				for _, to := range s.targets {
					if s.loads {
						require.LessOrEqual(t, now-loads[to], 2*loadsTime, "%d entries", entries)
						loads[to] = now
					}
					if s.totals {
						require.LessOrEqual(t, now-totals[to], 2*totalsTime+tellInterval, "%d entries", entries)
						totals[to] = now
					}
				}
			}
		}
		require.Len(t, totals, entries-1, "%d entries", entries)
	}
}

// Totals reach all others in time for allowances up to the size of the users' grown
// deployments, with some room.
func TestTotalsOfTheGrownFleetsAreFresh(t *testing.T) {
	telling := newTelling()
	telling.totalsBytes = len(testTotals(16).encode()) + datagramHeader
	require.Equal(t, totalsInterval, telling.totalsTime(fleetOf(90)))
}

// At the size to design for the words take no more than a node has for control,
// beside what configuration and upstreams take.
func TestWordsFitIntoTheControlBudget(t *testing.T) {
	const entries, loads, budget = 340, 10, 20_000
	peers, telling, g := fleetOf(entries), newTelling(), &Gateway{}
	telling.lightBytes = len(testWord(loads, 0, false).encode()) + datagramHeader
	telling.totalsBytes = len(testTotals(16).encode()) + datagramHeader
	bytes, passed, turn := 0, time.Duration(0), tellInterval
	for passed < 10*time.Minute {
		light := 0
		for _, s := range telling.next(peers, tellFanout, turn) {
			switch {
			case s.loads:
				light = len(s.targets) * telling.lightBytes
				bytes += light
			case s.totals:
				bytes += len(s.targets) * telling.totalsBytes
			}
		}
		turn = g.turnWait(light, len(peers.near))
		passed += turn
	}
	perSecond := float64(bytes) / passed.Seconds()
	t.Logf("%.0f bytes a second", perSecond)
	require.Less(t, perSecond, float64(budget))
}
