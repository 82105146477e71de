package entry

import (
	"jaylink/api"
	"jaylink/upstream"
)

// linkTraffic implements upstream.MeterFunc: traffic with upstreams of another
// region is counted, because it goes over the link that is paid by volume.
func (e *Entry) linkTraffic(address string) *upstream.Traffic {
	for _, o := range e.config.catalog().Upstreams() {
		spec := o.Spec.(*api.UpstreamSpec)
		if spec.Address == address && spec.Region != e.settings.Region {
			return &e.metrics.link
		}
	}
	return nil
}
