package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// EngineState is what an engine runs.
type EngineState struct {
	// Model is the model and version that is loaded.
	Model string `json:"model"`
	// Role is what the engine does, for example "prefill" or "decode".
	Role string `json:"role"`
}

// Order tells an engine what it should run. It can be repeated: an engine that
// is in that state already does nothing.
type Order struct {
	// Generation is the fencing number of who gives the order.
	Generation uint64 `json:"generation"`
	EngineState
}

// ErrFenced means that the engine had an order with a higher fencing number.
var ErrFenced = errors.New("order has an old fencing number")

// State reads what an engine runs.
func (c *Client) State(ctx context.Context, address string) (EngineState, error) {
	var state EngineState
	err := c.orderCall(ctx, http.MethodGet, address, nil, &state)
	return state, err
}

// Order gives an order. The context's deadline bounds it.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	return c.orderCall(ctx, http.MethodPost, address, order, &struct{}{})
}

func (c *Client) orderCall(ctx context.Context, method, address string, in, out any) error {
	errb := oops.In("upstream").With("step", "order", "peer", address)
	body, err := json.Marshal(in)
	if err != nil {
		return errb.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/state", bytes.NewReader(body))
	if err != nil {
		return errb.Wrap(err)
	}
	resp, err := c.shared.Do(req)
	if err != nil {
		return errb.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadAnswer))
	switch {
	case err != nil:
		return errb.Wrap(err)
	case resp.StatusCode == http.StatusConflict:
		return errb.Code("fenced").Wrap(ErrFenced)
	case resp.StatusCode != http.StatusOK:
		return errb.Errorf("status %d: %.200s", resp.StatusCode, data)
	}
	return errb.Wrap(json.Unmarshal(data, out))
}
