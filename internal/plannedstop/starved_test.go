package plannedstop

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
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
	host      = "shop.example"
	key       = "key-a"
	service   = "counter"
	frontPort = 18360
	readyPort = 18365
	// stopDue is a time after SIGTERM at which an entry without requests closes connections.
	stopDue = 3 * time.Second
	// callTimeout is the deadline of a caller's request.
	callTimeout = time.Minute
)

// gatewayProcess is a gateway as a process, with an upstream and a store.
type gatewayProcess struct {
	*procs.Process
	ip       string
	upstream *upstream.Server
}

// startGateway starts a gateway on a loopback address and waits until it is ready.
func startGateway(t *testing.T, address int) *gatewayProcess {
	t.Helper()
	store := metastore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	up, err := upstream.Start("i-1", "127.0.0.1")
	require.NoError(t, err)
	t.Cleanup(up.Close)
	store.PutUpstream(up.ID, service, up.Address(), "zone-a", "ready")
	store.PutConfiguration(metastore.Configuration{
		Version: 1,
		Routes: []metastore.Route{{
			Name: "order", Host: host, Service: service, Kind: "non_idempotent", Attempts: 1, TimeoutMs: int(callTimeout.Milliseconds()),
		}},
		Plain: []string{service}, MaxBodyBytes: 1000, Customer: metastore.Customer{Name: "customer-a", Keys: []string{key}},
	})
	g := &gatewayProcess{ip: fmt.Sprintf("127.%d.251.%d", 64+os.Getpid()%128, 1+address), upstream: up}
	settings := metastore.EntrySettings{
		Name: "entry-1", IP: g.ip, Zone: "zone-a", Region: "region-a", Zones: []string{"zone-a"},
		FrontPort: frontPort, ReadyPort: readyPort, FirstPort: 17500, LastPort: 17515,
		MemoryMB: 256, MaxFiles: 1000, GraceSeconds: 8, UsageWindowSeconds: 2, Store: server.Listener.Addr().String(),
	}
	path := filepath.Join(t.TempDir(), "settings.conf")
	require.NoError(t, os.WriteFile(path, []byte(settings.Text()), 0o600))
	binary, err := testfleet.Binary()
	require.NoError(t, err)
	group := procs.NewGroup(binary)
	t.Cleanup(group.Kill)
	g.Process, err = group.Start("entry-1", "gateway", "--settings", path)
	require.NoError(t, err)
	require.NoError(t, procs.Await("the entry to be ready", func() bool { return g.isReady() }))
	return g
}

func (g *gatewayProcess) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

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
}

func dial(t *testing.T, address string) *connection {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &connection{Conn: c, reader: bufio.NewReader(c)}
}

func (c *connection) send(t *testing.T, id string) {
	t.Helper()
	call := caller.Call{Method: http.MethodPost, Target: "/order/1", Host: host, ID: id, Key: key, Body: "body", Deadline: callTimeout}
	var err error
	c.last, err = call.Request(t.Context(), c.RemoteAddr().String())
	require.NoError(t, err)
	require.NoError(t, c.last.Write(c))
}

// status reads an answer and returns its status, or an error if the connection ends without a
// whole answer.
func (c *connection) status() (int, error) {
	resp, err := http.ReadResponse(c.reader, c.last)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// Requests that wait in a process which gets no processor time are answered when it goes on,
// also if all time limits of its stop have passed by then.
func TestStarvedEntryDropsWhatItHasReceivedInAPlannedStop(t *testing.T) {
	for i, perKind := range []int{1, 40} {
		t.Run(fmt.Sprintf("%d connections of a kind", perKind), func(t *testing.T) {
			t.Parallel()
			testStarvedStop(t, startGateway(t, i), perKind)
		})
	}
}

// testStarvedStop stops a gateway that is frozen from soon after SIGTERM on until its connections
// are due to be closed.
func testStarvedStop(t *testing.T, g *gatewayProcess, perKind int) {
	t.Helper()
	var conns []*connection
	for n := range 2 * perKind {
		c := dial(t, g.front())
		conns = append(conns, c)
		if n < perKind {
			c.send(t, fmt.Sprintf("first-%d", n))
			status, err := c.status()
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
		}
	}
	require.NoError(t, g.Signal(syscall.SIGTERM))
	require.NoError(t, procs.Await("the entry to be unready", func() bool { return !g.isReady() }))
	require.NoError(t, g.Freeze())
	// These wait for the entry to accept them.
	for range perKind {
		conns = append(conns, dial(t, g.front()))
	}
	for n, c := range conns {
		c.send(t, fmt.Sprintf("late-%d", n))
	}
	time.Sleep(stopDue)
	require.NoError(t, g.Signal(syscall.SIGCONT))
	dropped := map[string]int{}
	for n, c := range conns {
		status, err := c.status()
		if err != nil {
			dropped[[]string{"kept", "unused", "waiting to be accepted"}[n/perKind]]++
			continue
		}
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
	}
	require.Empty(t, dropped, "of %d each", perKind)
	<-g.Done()
}
