package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/samber/oops"
)

// CacheImport is a request to an engine to import the KV cache of a request from
// another engine.
type CacheImport struct {
	// RequestID is the tag of the attempt on the source engine, as sent in
	// HeaderRequestID.
	RequestID string `json:"request_id"`
	// From is the address of the source engine, "ip:port".
	From string `json:"from"`
}

// ImportCache makes the engine at an address import the KV cache of a request. The
// call is idempotent. If it fails, the engine recomputes the cache, so the answer
// does not change.
func (c *Client) ImportCache(ctx context.Context, address string, order CacheImport) error {
	errb := oops.In("upstream").With("step", "import_cache", "peer", address)
	// Marshaling a struct of strings never fails.
	body, _ := json.Marshal(order)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/kv", bytes.NewReader(body))
	if err != nil {
		return errb.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.shared.Do(req)
	if err != nil {
		return errb.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errb.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
