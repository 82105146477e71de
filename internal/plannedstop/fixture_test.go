package plannedstop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/internal/procs"
	"jaylink/internal/testfleet"
	"jaylink/standin/caller"
	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

const (
	host          = "shop.example"
	key           = "key-a"
	engineService = "caption"
	plainService  = "counter"
	frontPort     = 18360
	readyPort     = 18365
	// callTimeout is the deadline of a caller's request.
	callTimeout = time.Minute
	maxBody     = 100_000
	// subnet is that of the loopback addresses of this package's gateways.
	subnet = 250
)

// site is a store with upstreams for gateways that run as processes.
type site struct {
	store   *metastore.Server
	server  *httptest.Server
	group   *procs.Group
	dir     string
	version int
	started int
	ups     []*upstream.Server
	// services are those of the upstreams.
	services []string
}

func newSite(t *testing.T) *site {
	t.Helper()
	binary, err := testfleet.Binary()
	require.NoError(t, err)
	s := &site{store: metastore.New(), group: procs.NewGroup(binary), dir: t.TempDir()}
	s.server = httptest.NewServer(s.store)
	t.Cleanup(s.server.Close)
	t.Cleanup(s.group.Kill)
	s.configure()
	return s
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.version++
	route := func(name, service, kind string, attempts int) metastore.Route {
		return metastore.Route{Name: name, Host: host, Service: service, Kind: kind, Attempts: attempts, TimeoutMs: int(callTimeout.Milliseconds())}
	}
	s.store.PutConfiguration(metastore.Configuration{
		Version: s.version,
		Routes: []metastore.Route{
			route("order", plainService, "non_idempotent", 1), route("status", plainService, "idempotent", 2), route("once", engineService, "streaming", 1),
		},
		Engines: []string{engineService}, Plain: []string{plainService}, MaxBodyBytes: maxBody,
		Customer: metastore.Customer{Name: "customer-a", Keys: []string{key}},
	})
}

// upstream starts an upstream that waits for pace before a plain answer and before each event.
func (s *site) upstream(t *testing.T, service string, pace time.Duration) {
	t.Helper()
	up, err := upstream.Start(fmt.Sprintf("i-%d", len(s.ups)), "127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(up.Close)
	up.Pace = pace
	s.ups, s.services = append(s.ups, up), append(s.services, service)
	s.store.PutUpstream(up.ID, service, up.Address(), "zone-a", "ready")
}

// replaceUpstream takes the next step in replacing one upstream after the other: it announces that
// it leaves, is removed, and comes back as another process. It serves all the time.
func (s *site) replaceUpstream(step int) {
	const steps = 3
	round := step / steps
	n := round % len(s.ups)
	up, start := s.ups[n], upstream.FirstStart+int64(round/len(s.ups))
	switch step % steps {
	case 0:
		up.SetFault(upstream.Leave)
		s.store.PutUpstreamProcess(up.ID, s.services[n], up.Address(), "zone-a", "draining", start)
	case 1:
		s.store.DeleteUpstream(up.ID)
	default:
		up.SetFault(upstream.Sound)
		s.store.PutUpstreamProcess(up.ID, s.services[n], up.Address(), "zone-a", "ready", start+1)
	}
}

// gatewayProcess is a gateway as a process.
type gatewayProcess struct {
	*procs.Process
	ip, settings string
}

// gateway starts a gateway. It is not ready yet.
func (s *site) gateway(t *testing.T) *gatewayProcess {
	t.Helper()
	g := s.newGateway(t)
	require.NoError(t, s.start(g))
	return g
}

// newGateway writes the settings of a gateway that has not been started.
func (s *site) newGateway(t *testing.T) *gatewayProcess {
	t.Helper()
	s.started++
	g := &gatewayProcess{ip: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, subnet, s.started)}
	name := fmt.Sprintf("entry-%d", s.started)
	settings := metastore.EntrySettings{
		Name: name, IP: g.ip, Zone: "zone-a", Region: "region-a", Zones: []string{"zone-a"},
		FrontPort: frontPort, ReadyPort: readyPort, FirstPort: 17500, LastPort: 17515,
		MemoryMB: 256, MaxFiles: 1000, GraceSeconds: grace.Seconds(), UsageWindowSeconds: 2, Store: s.server.Listener.Addr().String(),
	}
	g.settings = filepath.Join(s.dir, name+".conf")
	require.NoError(t, os.WriteFile(g.settings, []byte(settings.Text()), 0o600))
	return g
}

// start starts a gateway's process, also once more after its end.
func (s *site) start(g *gatewayProcess) error {
	p, err := s.group.Start(filepath.Base(g.settings), "gateway", "--settings", g.settings)
	g.Process = p
	return err
}

func (g *gatewayProcess) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

func (g *gatewayProcess) awaitReady(t *testing.T) {
	t.Helper()
	require.NoError(t, procs.Await("the entry to be ready", g.isReady))
}

func (g *gatewayProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", g.ip, readyPort))
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
	last   *http.Request
	// early is the answer that came before the body was sent, if there is one.
	early *http.Response
}

func dial(address string) (*connection, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends a request with a body of some bytes.
func (c *connection) send(route, id string, size int) error {
	req, err := c.request(route, id, size)
	if err != nil {
		return err
	}
	return c.sendAs(atOnce, req)
}

// request returns a request with a body of some bytes.
func (c *connection) request(route, id string, size int) (*http.Request, error) {
	call := caller.Call{
		Method: http.MethodPost, Target: "/" + route + "/1", Host: host, ID: id, Key: key, Body: strings.Repeat("x", size), Deadline: callTimeout,
	}
	switch route {
	case "status":
		call.Method = http.MethodGet
	case "once":
		call.Tokens, call.Prefix = "100,10", "1f:100"
	}
	return call.Request(context.Background(), c.RemoteAddr().String())
}

// answer reads an answer and returns its status, and whether the connection may be used again.
// It returns an error if the connection ends without a whole answer.
func (c *connection) answer() (status int, isKept bool, err error) {
	resp := c.early
	c.early = nil
	if resp == nil {
		if resp, err = http.ReadResponse(c.reader, c.last); err != nil {
			return 0, false, err
		}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, !resp.Close, err
}
