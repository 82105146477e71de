package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"
)

const (
	loadTimeout   = time.Second
	maxLoadAnswer = 64 << 10
)

// LoadReport is the load that an upstream reports at /load.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving is true if the upstream asks for no new requests.
	Leaving bool `json:"leaving"`
	// UptimeMS is the uptime of the upstream's process in milliseconds, or 0 if
	// not reported.
	UptimeMS int64 `json:"uptime_ms,omitempty"`
}

// Load requests the load report of an upstream.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	errb := oops.In("upstream").With("step", "load", "peer", address)
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return report, errb.Wrap(err)
	}
	resp, err := c.shared.Do(req)
	if err != nil {
		return report, errb.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, errb.Errorf("status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadAnswer)).Decode(&report); err != nil {
		return report, errb.Wrap(err)
	}
	return report, nil
}
