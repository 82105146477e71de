package operator

import (
	"maps"
	"slices"
)

// SummarizeZones returns the revision in force and the lagging entries for each
// availability zone, computed from the revisions of the entries in s.
func SummarizeZones(s FleetStatus) []ZoneStatus {
	entries := []PeerStatus{{Name: s.Entry, AvailabilityZone: s.AvailabilityZone, ConfigRevision: s.ConfigRevision}}
	entries = append(entries, s.Peers...)
	var newest uint64
	for _, e := range entries {
		newest = max(newest, e.ConfigRevision)
	}
	zones := map[string]*ZoneStatus{}
	for _, e := range entries {
		z := zones[e.AvailabilityZone]
		if z == nil {
			z = &ZoneStatus{AvailabilityZone: e.AvailabilityZone, ConfigRevision: e.ConfigRevision}
			zones[e.AvailabilityZone] = z
		}
		z.Entries++
		z.ConfigRevision = min(z.ConfigRevision, e.ConfigRevision)
		if e.ConfigRevision < newest {
			z.Lagging = append(z.Lagging, e.Name)
		}
	}
	out := []ZoneStatus{}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		out = append(out, *zones[name])
	}
	return out
}
