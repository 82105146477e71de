package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"jaylink/gateway"
	"jaylink/platform"
	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Names of the deployment that the tests serve.
const (
	host     = "shop.example"
	key      = "key-a"
	engines  = "caption"
	counter  = "counter"
	customer = "customer-a"
)

// within is how long a test waits for what has to happen; a sound run takes a
// fraction of it.
const within = 20 * time.Second

// deployment is a platform with upstreams and entries, all on loopback.
type deployment struct {
	t         *testing.T
	store     *metastore.Server
	storeHTTP *httptest.Server
	version   int
	// rate and burst are the customer's allowance; 0 is none.
	rate, burst int
	keys        []string
}

// hosts numbers the loopback addresses, so that each entry has its own.
var hosts atomic.Int32

func nextIP() string {
	n := hosts.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, n/250, 1+n%250)
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	// Most of a test's time is the notice time of a stop.
	t.Parallel()
	d := &deployment{t: t, store: metastore.New(), version: 3, keys: []string{key}}
	d.storeHTTP = httptest.NewServer(d.store)
	t.Cleanup(d.storeHTTP.Close)
	return d
}

// configure writes the next version of the configuration.
func (d *deployment) configure() {
	d.version += 2
	route := func(name, kind string, attempts int, resume bool) map[string]any {
		service := engines
		if kind != "streaming" {
			service = counter
		}
		return map[string]any{
			"name": name, "host": host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 5000,
			"target-latency-ms": 800, "gap-aim-ms": 300, "priority": 0, "service": service,
			"max-attempts": attempts, "stream-resume": resume,
		}
	}
	d.store.Put("config", "main", map[string]any{
		"version": d.version,
		"routes": []any{
			route("stream", "streaming", 2, true), route("once", "streaming", 1, false),
			route("order", "non_idempotent", 1, false), route("status", "idempotent", 2, false),
		},
		"services": []any{
			map[string]any{"name": engines, "max-connections": 100, "engine": map[string]any{"slots": 8, "kv-capacity": 100000}},
			map[string]any{"name": counter, "max-connections": 100},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1000, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{
			"name": customer, "api-keys": d.keys, "billing-unit": "tokens", "plain-tokens": 200,
			"rate-per-s": d.rate, "burst": d.burst,
		}},
	})
}

// upstream starts an upstream and lists it.
func (d *deployment) upstream(id, service string) *upstream.Server {
	d.t.Helper()
	return d.upstreamIn("zone-a", id, service)
}

// upstreamIn starts an upstream in an availability zone; entries prefer their own.
func (d *deployment) upstreamIn(zone, id, service string) *upstream.Server {
	d.t.Helper()
	s, err := upstream.Start(id, "127.0.0.1")
	require.NoError(d.t, err)
	d.t.Cleanup(s.Close)
	d.list(s, zone, service, "ready")
	return s
}

func (d *deployment) list(s *upstream.Server, zone, service, state string) {
	d.store.Put("servers", s.ID, map[string]any{
		"service": service, "address": s.Address(), "zone": zone, "slots": 8, "state": state, "born": 1,
	})
}

// entry is one gateway.
type entry struct {
	*gateway.Gateway
	settings platform.Settings
	client   *http.Client
	stopped  bool
}

// startEntry starts a gateway and waits until it is ready.
func (d *deployment) startEntry(name string) *entry {
	d.t.Helper()
	e := d.newEntry(name)
	require.NoError(d.t, e.Start(d.t.Context()))
	d.t.Cleanup(func() { e.stop(d.t) })
	eventually(d.t, func() bool { return e.ready() })
	return e
}

func (d *deployment) newEntry(name string) *entry {
	ip := nextIP()
	s := platform.Settings{
		Name: name, IP: ip, Zone: "zone-a", Region: "region-a", Regions: map[string]string{"zone-a": "region-a", "zone-b": "region-a"},
		Front: ip + ":18360", Ready: ip + ":18365", PortFirst: 17500, PortLast: 17515, MemoryMB: 256, MaxFiles: 1000,
		Store: d.storeHTTP.Listener.Addr().String(), Cloud: d.storeHTTP.Listener.Addr().String(),
		ReportsUsage: true,
		Bounds: platform.Bounds{
			ConfigurationApply: 2500 * time.Millisecond, Drain: 2500 * time.Millisecond, Grace: 8 * time.Second,
			Lease: 3 * time.Second, RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second,
			UsageWindow: time.Second, UsageLate: 10 * time.Second, QuotaWindow: 8 * time.Second,
		},
	}
	return &entry{
		Gateway: gateway.New(s, slog.New(slog.NewTextHandler(io.Discard, nil))), settings: s,
		client: &http.Client{Transport: &http.Transport{}},
	}
}

func (e *entry) stop(t *testing.T) {
	t.Helper()
	if !e.stopped {
		e.stopped = true
		e.client.CloseIdleConnections()
		require.NoError(t, e.Stop(context.Background()))
	}
}

func (e *entry) ready() bool {
	resp, err := e.client.Get("http://" + e.settings.Ready + "/v1/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, within, 10*time.Millisecond)
}

// call is one request of a caller.
type call struct {
	method, path, body string
	header             map[string]string
}

// stream is a generation on a route.
func stream(route, id string) call {
	return call{"POST", "/" + route + "/1", "prompt", map[string]string{
		"Request-Id": id, "Key": key, "Deadline-Ms": "5000", "Model": "m", "Token-Count": "100,10", "Prefix-Hash": "1f:60,2e:40",
	}}
}

// plain is a request to the counter service.
func plain(route, id string) call {
	return call{"POST", "/" + route + "/1?x=1", "body", map[string]string{"Request-Id": id, "Key": key, "Deadline-Ms": "3000"}}
}

func (c call) request(ctx context.Context, t *testing.T, e *entry) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+e.settings.Front+c.path, strings.NewReader(c.body))
	require.NoError(t, err)
	req.Host = host
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	return req
}

// answer is what a caller got; err says that the answer is not whole.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (e *entry) send(t *testing.T, c call) answer {
	t.Helper()
	resp, err := e.client.Do(c.request(t.Context(), t, e))
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

// wholeStream is the body of a stream that misses nothing.
func wholeStream() string {
	var b strings.Builder
	for n := range upstream.Events {
		b.WriteString(upstream.Event(n))
	}
	return b.String()
}

func newDialer() *net.Dialer { return &net.Dialer{Timeout: time.Second} }

// gate stands before a store and can be shut for those who come through it.
type gate struct {
	server *httptest.Server
	shut   atomic.Bool
}

func newGate(t *testing.T, next http.Handler) *gate {
	t.Helper()
	g := &gate{}
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.shut.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	}))
	t.Cleanup(g.server.Close)
	return g
}
