package hosting

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jaylink/objects"
)

const (
	defaultCallTimeout = 3 * time.Second
	// watchSlack is added to the wait that a watch asks the server for, to get the
	// timeout of the call.
	watchSlack = 3 * time.Second
)

// Client is an HTTP client for the hosting API at one address. It is safe for
// concurrent use.
type Client struct {
	base string
	zone string
	http *http.Client
}

// New returns a client for the hosting API at "ip:port".
func New(address string) *Client {
	return &Client{
		base: "http://" + address + "/v1",
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}},
	}
}

// HeaderZone is the request header that names the availability zone of the caller.
const HeaderZone = "Jaylink-Availability-Zone"

// InZone sets the availability zone that the client sends in HeaderZone with each
// call, and returns the client.
func (c *Client) InZone(zone string) *Client {
	c.zone = zone
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads one object.
func (c *Client) Get(ctx context.Context, kind, name string) (objects.Record, error) {
	var rec objects.Record
	err := c.call(ctx, "object_get", http.MethodGet, objectPath(kind, name), nil, nil, &rec)
	return rec, err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (objects.RecordList, error) {
	var list objects.RecordList
	err := c.call(ctx, "object_list", http.MethodGet, "/objects/"+url.PathEscape(kind), nil, nil, &list)
	return list, err
}

// Create writes an object. It fails with an objects.ConflictError if the object
// exists already.
func (c *Client) Create(ctx context.Context, kind, name string, value any) (objects.Record, error) {
	return c.put(ctx, "object_create", kind, name, "If-None-Match", "*", value)
}

// Update replaces an object. It fails with an objects.ConflictError unless the
// object is at the given version.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, value any) (objects.Record, error) {
	return c.put(ctx, "object_update", kind, name, "If-Match", strconv.FormatUint(version, 10), value)
}

func (c *Client) put(ctx context.Context, step, kind, name, header, cond string, value any) (objects.Record, error) {
	var rec objects.Record
	err := c.call(ctx, step, http.MethodPut, objectPath(kind, name), http.Header{header: {cond}}, value, &rec)
	return rec, err
}

// Delete deletes an object and returns the record of the deletion. It fails with an
// objects.ConflictError unless the object is at the given version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (objects.Record, error) {
	var rec objects.Record
	cond := http.Header{"If-Match": {strconv.FormatUint(version, 10)}}
	err := c.call(ctx, "object_delete", http.MethodDelete, objectPath(kind, name), cond, nil, &rec)
	return rec, err
}

// Watch waits until an object of one of the kinds changes after the given
// revision, for at most the given time. The list is empty if nothing changed.
func (c *Client) Watch(ctx context.Context, kinds []string, after uint64, wait time.Duration) (objects.RecordList, error) {
	var list objects.RecordList
	query := url.Values{"kind": kinds, "after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	err := c.call(ctx, "object_watch", http.MethodGet, "/watch?"+query.Encode(), nil, nil, &list)
	return list, err
}

// Hosts reads the host list.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var list HostList
	err := c.call(ctx, "host_list", http.MethodGet, "/hosts", nil, nil, &list)
	return list.Hosts, err
}

// Notices waits, for at most the given time, for reclaim notices that are later
// than the given sequence number.
func (c *Client) Notices(ctx context.Context, after uint64, wait time.Duration) (NoticeList, error) {
	var list NoticeList
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	err := c.call(ctx, "notice_watch", http.MethodGet, "/notices?"+query.Encode(), nil, nil, &list)
	return list, err
}

// OrderHost orders a host. It fails with objects.ErrRefused if no host is
// available.
func (c *Client) OrderHost(ctx context.Context, order HostOrder) (Host, error) {
	var host Host
	err := c.call(ctx, "host_order", http.MethodPost, "/host-orders", nil, order, &host)
	return host, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Weights reads the description of a model's weights from the weight store. It
// fails with objects.ErrRefused if the store's rate limit is exhausted or if it has
// no such weights.
func (c *Client) Weights(ctx context.Context, name string) (WeightSet, error) {
	var set WeightSet
	err := c.call(ctx, "weights", http.MethodGet, "/weights/"+url.PathEscape(name), nil, nil, &set)
	return set, err
}

// call makes one HTTP call. If ctx has no deadline, defaultCallTimeout applies.
func (c *Client) call(ctx context.Context, step, method, path string, header http.Header, body, out any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	if c.zone != "" {
		header = header.Clone()
		if header == nil {
			header = http.Header{}
		}
		header.Set(HeaderZone, c.zone)
	}
	return objects.Call{
		Step: step, Method: method, URL: c.base + path, Header: header, Body: body, Conflict: currentRecord,
	}.Do(ctx, c.http, out)
}

// currentRecord decodes the current record of the object from the response to a
// conditional write that failed.
func currentRecord(body []byte) (objects.Record, error) {
	var rec objects.Record
	err := json.Unmarshal(body, &rec)
	return rec, err
}
