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
	// watchSlack is added to a watch's own wait before the call is given up.
	watchSlack = 3 * time.Second
)

// Client calls the platform at one address. It is safe for concurrent use.
type Client struct {
	base string
	zone string
	http *http.Client
}

// New returns a client for the platform at "ip:port".
func New(address string) *Client {
	return &Client{
		base: "http://" + address + "/v1",
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}},
	}
}

// HeaderZone names the availability zone of the caller.
const HeaderZone = "Jaylink-Availability-Zone"

// InZone makes the client name its availability zone in each call.
func (c *Client) InZone(zone string) *Client {
	c.zone = zone
	return c
}

// Close drops idle connections.
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

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, kind, name string, value any) (objects.Record, error) {
	return c.put(ctx, "object_create", kind, name, "If-None-Match", "*", value)
}

// Update writes an object that must be at the given version.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, value any) (objects.Record, error) {
	return c.put(ctx, "object_update", kind, name, "If-Match", strconv.FormatUint(version, 10), value)
}

func (c *Client) put(ctx context.Context, step, kind, name, header, cond string, value any) (objects.Record, error) {
	var rec objects.Record
	err := c.call(ctx, step, http.MethodPut, objectPath(kind, name), http.Header{header: {cond}}, value, &rec)
	return rec, err
}

// Delete removes an object that must be at the given version and returns the
// record of the deletion.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) (objects.Record, error) {
	var rec objects.Record
	cond := http.Header{"If-Match": {strconv.FormatUint(version, 10)}}
	err := c.call(ctx, "object_delete", http.MethodDelete, objectPath(kind, name), cond, nil, &rec)
	return rec, err
}

// Watch waits until an object of one of the kinds changes after the revision,
// and at most for the given time; the list is empty if nothing changed.
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

// Notices waits for reclaim notices after a sequence number.
func (c *Client) Notices(ctx context.Context, after uint64, wait time.Duration) (NoticeList, error) {
	var list NoticeList
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	err := c.call(ctx, "notice_watch", http.MethodGet, "/notices?"+query.Encode(), nil, nil, &list)
	return list, err
}

// OrderHost asks for a host. objects.ErrRefused means that there is none to be had.
func (c *Client) OrderHost(ctx context.Context, order HostOrder) (Host, error) {
	var host Host
	err := c.call(ctx, "host_order", http.MethodPost, "/host-orders", nil, order, &host)
	return host, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Weights asks the weight store about the weights of a model. objects.ErrRefused means
// that the store's rate is used up, or that there are no such weights.
func (c *Client) Weights(ctx context.Context, name string) (WeightSet, error) {
	var set WeightSet
	err := c.call(ctx, "weights", http.MethodGet, "/weights/"+url.PathEscape(name), nil, nil, &set)
	return set, err
}

// call makes one call. Calls without a deadline get defaultCallTimeout.
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

// currentRecord reads the record that a refused write met.
func currentRecord(body []byte) (objects.Record, error) {
	var rec objects.Record
	err := json.Unmarshal(body, &rec)
	return rec, err
}
