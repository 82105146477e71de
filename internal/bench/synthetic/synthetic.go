// Package synthetic generates upstream objects of fleets of any size for tests and
// measurements.
package synthetic

import (
	"fmt"

	"jaylink/api"
)

// Shape of a synthetic fleet.
const (
	zones          = 5
	zonesPerRegion = 3
	// onDemandOf7 is how many of 7 upstreams are on demand; the others are reclaimable.
	onDemandOf7 = 2

	reclaimablePrice = 0.8
	onDemandPrice    = 2.8
)

// Upstreams returns n upstreams with the label pool=p, distributed over five
// availability zones in two regions. Five of seven are reclaimable.
func Upstreams(n int) []*api.Object {
	list := make([]*api.Object, 0, n)
	for i := range n {
		zone, price, class := i%zones, reclaimablePrice, "reclaimable-gpu"
		if i%7 < onDemandOf7 {
			price, class = onDemandPrice, "on-demand-gpu"
		}
		list = append(list, &api.Object{
			Kind: api.KindUpstream, Name: fmt.Sprintf("u%04d", i), Labels: api.Labels{"pool": "p"},
			Spec: &api.UpstreamSpec{
				Protocol: api.ProtocolCompletions, AvailabilityZone: fmt.Sprintf("z%d", zone), MachineClass: class,
				Region: fmt.Sprintf("r%d", zone/zonesPerRegion), PricePerHour: price, Slots: api.DefaultSlots,
			},
		})
	}
	return list
}
