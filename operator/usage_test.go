package operator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/reason"
)

func TestMergeUsageAddsUpEntries(t *testing.T) {
	one := UsageList{Items: []Usage{
		{Customer: "d", Service: "s", Accepted: 1},
		{Customer: "c", Service: "s", Accepted: 3, Answered: 2, Tokens: 40, Refused: map[reason.Reason]int64{reason.TimedOut: 1}},
	}}
	two := UsageList{Items: []Usage{
		{Customer: "c", Service: "s", Accepted: 2, Answered: 1, Tokens: 5, Refused: map[reason.Reason]int64{reason.TimedOut: 1}},
	}}
	sum := MergeUsage(one, two)
	require.Len(t, sum, 2)
	require.Equal(t, Usage{Customer: "c", Service: "s", Accepted: 5, Answered: 3, Tokens: 45,
		Refused: map[reason.Reason]int64{reason.TimedOut: 2}}, sum[0])
	require.Equal(t, "d", sum[1].Customer)
}

func TestSummarizeZonesListsLaggingEntries(t *testing.T) {
	zones := SummarizeZones(FleetStatus{Entry: "a1", AvailabilityZone: "a", ConfigRevision: 7, Peers: []PeerStatus{
		{Name: "a2", AvailabilityZone: "a", ConfigRevision: 7},
		{Name: "b1", AvailabilityZone: "b", ConfigRevision: 5},
		{Name: "b2", AvailabilityZone: "b", ConfigRevision: 7},
	}})
	require.Equal(t, []ZoneStatus{
		{AvailabilityZone: "a", Entries: 2, ConfigRevision: 7},
		{AvailabilityZone: "b", Entries: 2, ConfigRevision: 5, Lagging: []string{"b1"}},
	}, zones)
}
