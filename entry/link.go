package entry

import (
	"jaylink/api"
	"jaylink/upstream"
)

// interRegionTraffic implements upstream.MeterFunc. It meters traffic with
// upstreams in other regions, because the link between regions is billed by
// volume.
func (e *Entry) interRegionTraffic(address string) *upstream.Traffic {
	for _, o := range e.config.catalog().Upstreams() {
		spec := o.Spec.(*api.UpstreamSpec)
		if spec.Address == address && spec.Region != e.settings.Region {
			return &e.metrics.link
		}
	}
	return nil
}
