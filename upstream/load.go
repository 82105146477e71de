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

// LoadReport is what an upstream says about itself at /load.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving says that the upstream wants no new work.
	Leaving bool `json:"leaving"`
	// UptimeMS is how long the upstream's process has run, in milliseconds;
	// 0 if it does not say.
	UptimeMS int64 `json:"uptime_ms,omitempty"`
}

// Load asks an upstream for its report.
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
