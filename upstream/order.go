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

// EngineState is the model and role of an engine.
type EngineState struct {
	// Model is the loaded model with its version.
	Model string `json:"model"`
	// Role is the engine's part in serving, for example "prefill" or "decode".
	Role string `json:"role"`
}

// Order is a command to an engine to switch to a state. It is idempotent: an engine
// that is in the state already does nothing.
type Order struct {
	// Generation is the sender's fencing token.
	Generation uint64 `json:"generation"`
	EngineState
}

// ErrFenced means that the engine has received an order with a higher fencing token.
var ErrFenced = errors.New("order has an outdated fencing token")

// State reads the state of an engine.
func (c *Client) State(ctx context.Context, address string) (EngineState, error) {
	var state EngineState
	err := c.orderCall(ctx, http.MethodGet, address, nil, &state)
	return state, err
}

// Order sends an order to an engine. Only the deadline of ctx limits its duration.
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
