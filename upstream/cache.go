package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/samber/oops"
)

// CacheImport asks an engine to fetch the KV cache of a request from another.
type CacheImport struct {
	// RequestID is the tag of the attempt on the source.
	RequestID string `json:"request_id"`
	// From is the address of the source, "ip:port".
	From string `json:"from"`
}

// ImportCache has the engine at an address import the KV cache of a request. A
// repeated import changes nothing, and neither does one that fails: the engine
// then computes the cache again.
func (c *Client) ImportCache(ctx context.Context, address string, order CacheImport) error {
	errb := oops.In("upstream").With("step", "import_cache", "peer", address)
	// Marshaling a struct of strings can't fail.
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
