package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"jaylink/api"
)

const (
	callTimeout = 30 * time.Second
	maxAnswer   = 64 << 20
)

// StatusError is a refused call.
type StatusError struct {
	Status  int
	Failure Failure
	body    []byte
}

// Error gives the entry's reason.
func (e *StatusError) Error() string { return e.Failure.Error }

// Client calls the operator port of one entry.
type Client struct {
	base string
	http *http.Client
	// Operator names who makes the calls; it is kept with what is written.
	Operator string
	// Token is sent as the bearer token; "" sends none.
	Token string
}

// NewClient returns a client for the operator port at "ip:port".
func NewClient(address string) *Client {
	return &Client{base: "http://" + address + "/v1", http: &http.Client{Timeout: callTimeout}}
}

// Address returns the base of the URLs that are called.
func (c *Client) Address() string { return c.base }

// Apply writes objects.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyReply, error) {
	var reply ApplyReply
	err := c.call(ctx, "apply", http.MethodPost, "/apply", req, &reply)
	var failed *StatusError
	if errors.As(err, &failed) && json.Unmarshal(failed.body, &reply) == nil && len(reply.Results) > 0 {
		// The outcome of each object says more than the status.
		return reply, nil
	}
	return reply, err
}

// Label changes labels of one object and returns it as it is then.
func (c *Client) Label(ctx context.Context, key api.Key, req LabelRequest) (*api.Object, error) {
	o := &api.Object{}
	err := c.call(ctx, "label", http.MethodPost, objectPath(key)+"/labels", req, o)
	return o, err
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key api.Key) (*api.Object, error) {
	o := &api.Object{}
	err := c.call(ctx, "get", http.MethodGet, objectPath(key), nil, o)
	return o, err
}

// List reads all objects of a kind; an empty kind means all kinds.
func (c *Client) List(ctx context.Context, kind api.Kind) ([]*api.Object, error) {
	var list []*api.Object
	path := "/objects"
	if kind != "" {
		path += "/" + string(kind)
	}
	err := c.call(ctx, "list", http.MethodGet, path, nil, &list)
	return list, err
}

// Delete removes one object at a version; 0 means whatever version it has.
func (c *Client) Delete(ctx context.Context, key api.Key, version uint64) error {
	path := fmt.Sprintf("%s?version=%d", objectPath(key), version)
	return c.call(ctx, "delete", http.MethodDelete, path, nil, &struct{}{})
}

// Status asks the entry what it knows about the fleet.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	var s FleetStatus
	err := c.call(ctx, "status", http.MethodGet, "/status", nil, &s)
	return s, err
}

// Changes reads the objects that changed after a revision on the entry.
func (c *Client) Changes(ctx context.Context, after uint64) (ChangeList, error) {
	var list ChangeList
	err := c.call(ctx, "changes", http.MethodGet, fmt.Sprintf("/changes?after=%d", after), nil, &list)
	return list, err
}

// Drain tells the entry to leave: it stops gracefully, as at SIGTERM.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, "drain", http.MethodPost, "/drain", nil, &struct{}{})
}

// Usage reads what the entry counted by customer and service.
func (c *Client) Usage(ctx context.Context) (UsageList, error) {
	var list UsageList
	err := c.call(ctx, "usage", http.MethodGet, "/usage", nil, &list)
	return list, err
}

// Decisions reads the entry's decision record.
func (c *Client) Decisions(ctx context.Context, q DecisionQuery) (DecisionList, error) {
	var list DecisionList
	query := url.Values{"request_id": {q.RequestID}, "upstream": {q.Upstream}, "limit": {strconv.Itoa(q.Limit)}}
	err := c.call(ctx, "decisions", http.MethodGet, "/decisions?"+query.Encode(), nil, &list)
	return list, err
}

func objectPath(key api.Key) string { return "/objects/" + string(key.Kind) + "/" + key.Name }

func (c *Client) call(ctx context.Context, step, method, path string, in, out any) error {
	errb := oops.In("operator").With("step", step, "peer", c.base)
	body, err := json.Marshal(in)
	if err != nil {
		return errb.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errb.Wrap(err)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Operator != "" {
		req.Header.Set(HeaderOperator, c.Operator)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errb.Wrap(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return errb.Wrap(err)
	}
	if resp.StatusCode >= 300 {
		failed := &StatusError{Status: resp.StatusCode, body: data}
		if json.Unmarshal(data, &failed.Failure) != nil || failed.Failure.Error == "" {
			failed.Failure.Error = fmt.Sprintf("status %d: %.200s", resp.StatusCode, data)
		}
		return errb.Wrap(failed)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errb.Wrap(err)
	}
	return nil
}
