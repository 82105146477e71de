package gateway_test

import (
	"cmp"
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
	"jaylink/standin/caller"
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
	// timeout is that of the routes; 0 is five seconds.
	timeout time.Duration
	// drain is the time after which a leaving upstream gets nothing more; 0 is 2.5 s.
	drain time.Duration
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
	timeout := cmp.Or(d.timeout, 5*time.Second)
	route := func(name, kind, service string, attempts int, resumable bool) metastore.Route {
		return metastore.Route{Name: name, Host: host, Service: service, Kind: kind, Attempts: attempts, Resumable: resumable, TimeoutMs: int(timeout.Milliseconds())}
	}
	d.store.PutConfiguration(metastore.Configuration{
		Version: d.version,
		Routes: []metastore.Route{
			route("stream", "streaming", engines, 2, true), route("once", "streaming", engines, 1, false),
			route("order", "non_idempotent", counter, 1, false), route("status", "idempotent", counter, 2, false),
		},
		Engines: []string{engines}, Plain: []string{counter}, MaxBodyBytes: 1000,
		Customer: metastore.Customer{Name: customer, Keys: d.keys, Rate: d.rate, Burst: d.burst},
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
	d.store.PutUpstream(s.ID, service, s.Address(), zone, state)
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
			ConfigurationApply: 2500 * time.Millisecond, Drain: cmp.Or(d.drain, 2500*time.Millisecond), Grace: 8 * time.Second,
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

// stream is a generation on a route.
func stream(route, id string) caller.Call {
	return caller.Call{
		Method: "POST", Target: "/" + route + "/1", Host: host, ID: id, Key: key, Body: "prompt", Deadline: 5 * time.Second,
		Tokens: "100,10", Prefix: "1f:60,2e:40", Header: map[string]string{},
	}
}

// plain is a request to the counter service.
func plain(route, id string) caller.Call {
	return caller.Call{
		Method: "POST", Target: "/" + route + "/1?x=1", Host: host, ID: id, Key: key, Body: "body", Deadline: 3 * time.Second,
	}
}

// answer is what a caller got; err says that the answer is not whole.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (e *entry) send(t *testing.T, c caller.Call) answer {
	t.Helper()
	req, err := c.Request(t.Context(), e.settings.Front)
	require.NoError(t, err)
	resp, err := e.client.Do(req)
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
