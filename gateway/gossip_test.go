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
		g.turnTime.Store(int64(tellInterval))
		words, totals := int(g.wordTime(peers)/tellInterval), int(g.totalsTime(peers)/tellInterval)
		telling := newTelling()
		heard, heardTotals := map[*net.UDPAddr]int{}, map[*net.UDPAddr]int{}
		for turn := range 4 * totals {
			targets, whole := telling.next(peers, tellFanout)
			for _, to := range targets {
				require.LessOrEqual(t, turn-heard[to], 2*words, "%d entries", entries)
				heard[to] = turn
				if whole {
					require.LessOrEqual(t, turn-heardTotals[to], 2*totals, "%d entries", entries)
					heardTotals[to] = turn
				}
			}
		}
		require.Len(t, heardTotals, entries-1, "%d entries", entries)
	}
}

// At the size to design for the words take no more than a node has for control,
// beside what configuration and upstreams take.
func TestWordsFitIntoTheControlBudget(t *testing.T) {
	const entries, loads, customers, budget = 340, 10, 16, 20_000
	peers, telling := fleetOf(entries), newTelling()
	light, whole := len(testWord(loads, customers, false).encode())+datagramHeader, len(testWord(loads, customers, true).encode())+datagramHeader
	telling.lightBytes = light
	bytes, passed := 0, time.Duration(0)
	for range 100 * wholeEvery(entries-1) {
		targets, isWhole := telling.next(peers, tellFanout)
		if isWhole {
			bytes += len(targets) * whole
		} else {
			bytes += len(targets) * light
		}
		passed += (&Gateway{}).turnWait(len(targets) * light)
	}
	perSecond := float64(bytes) / passed.Seconds()
	t.Logf("%.0f bytes a second", perSecond)
	require.Less(t, perSecond, float64(budget))
}
