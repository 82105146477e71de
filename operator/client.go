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
	callTimeout     = 30 * time.Second
	maxResponseSize = 64 << 20
)

// StatusError is an error response of the entry.
type StatusError struct {
	Status  int
	Failure Failure
	body    []byte
}

// Error returns the message of the entry.
func (e *StatusError) Error() string { return e.Failure.Error }

// Client calls the operator API of one entry.
type Client struct {
	base string
	http *http.Client
	// Operator is the person who makes the calls; it is stored with the objects
	// that they write.
	Operator string
	// Token is sent as the bearer token unless it is "".
	Token string
}

// NewClient returns a client for the operator port at "ip:port".
func NewClient(address string) *Client {
	return &Client{base: "http://" + address + "/v1", http: &http.Client{Timeout: callTimeout}}
}

// Address returns the base URL of the calls.
func (c *Client) Address() string { return c.base }

// Apply writes objects. The reply has the outcome for each of them even if some
// could not be written.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyReply, error) {
	var reply ApplyReply
	err := c.call(ctx, "apply", http.MethodPost, "/apply", req, &reply)
	var statusErr *StatusError
	if errors.As(err, &statusErr) && json.Unmarshal(statusErr.body, &reply) == nil && len(reply.Results) > 0 {
		// The results of the objects are more specific than the status.
		return reply, nil
	}
	return reply, err
}

// Label changes labels of one object and returns the changed object.
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

// Delete deletes an object if it has the given version; 0 means any version.
func (c *Client) Delete(ctx context.Context, key api.Key, version uint64) error {
	path := fmt.Sprintf("%s?version=%d", objectPath(key), version)
	return c.call(ctx, "delete", http.MethodDelete, path, nil, &struct{}{})
}

// Status returns the state of the fleet as known to the entry.
func (c *Client) Status(ctx context.Context) (FleetStatus, error) {
	var s FleetStatus
	err := c.call(ctx, "status", http.MethodGet, "/status", nil, &s)
	return s, err
}

// Changes returns the objects that changed after a revision, as known to the entry.
func (c *Client) Changes(ctx context.Context, after uint64) (ChangeList, error) {
	var list ChangeList
	err := c.call(ctx, "changes", http.MethodGet, fmt.Sprintf("/changes?after=%d", after), nil, &list)
	return list, err
}

// Drain makes the entry stop gracefully, as on SIGTERM.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, "drain", http.MethodPost, "/drain", nil, &struct{}{})
}

// Usage returns the entry's usage counters by customer and service.
func (c *Client) Usage(ctx context.Context) (UsageList, error) {
	var list UsageList
	err := c.call(ctx, "usage", http.MethodGet, "/usage", nil, &list)
	return list, err
}

// Decisions returns the decisions in the entry's decision record that match q.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return errb.Wrap(err)
	}
	if resp.StatusCode >= 300 {
		statusErr := &StatusError{Status: resp.StatusCode, body: data}
		if json.Unmarshal(data, &statusErr.Failure) != nil || statusErr.Failure.Error == "" {
			statusErr.Failure.Error = fmt.Sprintf("status %d: %.200s", resp.StatusCode, data)
		}
		return errb.Wrap(statusErr)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return errb.Wrap(err)
	}
	return nil
}
