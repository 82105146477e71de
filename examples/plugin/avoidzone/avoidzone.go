package avoidzone

import (
	"slices"
	"time"

	"jaylink/api"
	"jaylink/decision/route"
)

// Filter keeps patient requests off the upstreams of some availability zones,
// for example before maintenance.
type Filter struct {
	// Zones are the availability zones to avoid. At least one is needed.
	Zones []string `yaml:"zones"`
}

// Keep implements route.Filter.
func (f *Filter) Keep(_ time.Time, r *route.Request, u *route.Upstream) bool {
	return r.Class != api.ClassPatient || !slices.Contains(f.Zones, u.Spec.AvailabilityZone)
}
