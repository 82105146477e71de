// Package testfleet starts fleets of jaylink processes for tests and measurements: a
// platform, engines, services and entries on loopback addresses. It also sets the
// faults of the stand-ins and reads what they recorded.
package testfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/hosting"
	"jaylink/internal/procs"
	"jaylink/operator"
	platformstandin "jaylink/standin/hosting"
)

const stopTimeout = time.Minute

var (
	buildOnce sync.Once
	buildPath string
	buildErr  error
)

// Binary builds the jaylink binary once per test process and returns its path.
func Binary() (string, error) {
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "jaylink-test-")
		if err != nil {
			buildErr = err
			return
		}
		buildPath = filepath.Join(dir, "jaylink")
		out, err := exec.Command("go", "build", "-o", buildPath, "jaylink/cmd/jaylink").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	return buildPath, buildErr
}

// Fleet is a running fleet.
type Fleet struct {
	t        testing.TB
	Group    *procs.Group
	Platform string // address
	Entries  map[string]*Entry
	Nodes    map[string]*Node // engines and services by upstream name
	// EntryArgs are added to the command line of each entry that is started.
	EntryArgs []string
	// Isolated starts entries without peers, as in zones that are partitioned from
	// each other.
	Isolated bool
	// Relayed routes the connections between entries through relays, so that CutZone
	// applies to them. It affects entries that are started after it is set.
	Relayed bool
	network *network
	dir     string
}

// Entry is a running entry process.
type Entry struct {
	*procs.Process
	Name, Zone, Region     string
	Caller, Operator, Peer string // addresses
	Settings               string // path of the settings file
}

// URL returns a URL on the entry's caller port.
func (e *Entry) URL(path string) string { return "http://" + e.Caller + path }

// Client returns a client of the entry's operator port.
func (e *Entry) Client() *operator.Client { return operator.NewClient(e.Operator) }

// Node is a running engine or service.
type Node struct {
	*procs.Process
	Address string
	Object  *api.Object
	args    []string
}

// RestartNode starts an engine or service again at its address. It does not wait
// until it is ready, because an engine may crash again immediately.
func (f *Fleet) RestartNode(n *Node) {
	f.t.Helper()
	p, err := f.Group.Start(n.Object.Name, n.args...)
	require.NoError(f.t, err)
	n.Process = p
}

// New starts a platform. All processes of the fleet are killed at the end of the test,
// and the logs of the entries are printed if it failed.
func New(t testing.TB) *Fleet {
	t.Helper()
	binary, err := Binary()
	require.NoError(t, err)
	f := &Fleet{
		t: t, Group: procs.NewGroup(binary), Platform: procs.Address(),
		Entries: map[string]*Entry{}, Nodes: map[string]*Node{}, dir: t.TempDir(),
		network: newNetwork(),
	}
	t.Cleanup(f.Group.Kill)
	_, err = f.Group.Start("platform", "standin", "platform", "--listen", f.Platform)
	require.NoError(t, err)
	require.NoError(t, procs.AwaitHTTP("http://"+f.Platform+"/v1/faults"))
	return f
}

// Upstream starts a stand-in ("engine" or "service") with extra arguments and returns
// its node. Apply later writes the upstream object to the fleet.
func (f *Fleet) Upstream(kind, pool, name, zone, region string, args ...string) *Node {
	f.t.Helper()
	address := procs.Address()
	args = append([]string{"standin", kind, "--listen", address}, args...)
	p, err := f.Group.Start(name, args...)
	require.NoError(f.t, err)
	protocol := api.ProtocolHTTP
	if kind == "engine" {
		protocol = api.ProtocolCompletions
	}
	n := &Node{Process: p, Address: address, args: args, Object: &api.Object{
		Kind: api.KindUpstream, Name: name, Labels: api.Labels{"pool": pool},
		Spec: &api.UpstreamSpec{Address: address, Protocol: protocol, AvailabilityZone: zone, Region: region, Slots: api.DefaultSlots},
	}}
	f.Nodes[name] = n
	require.NoError(f.t, procs.AwaitHTTP("http://"+address+"/load"))
	return n
}

// StartEntry starts an entry whose peers are the entries started before it. Extra is
// YAML that is appended to its settings.
func (f *Fleet) StartEntry(name, zone, region, extra string) *Entry {
	f.t.Helper()
	e := &Entry{Name: name, Zone: zone, Region: region, Caller: procs.Address(), Operator: procs.Address(), Peer: procs.Address()}
	listen := e.Peer
	if f.Relayed {
		listen, e.Peer = f.zoneAddress(zone), f.zoneAddress(zone)
		f.relay(e.Peer, listen)
	}
	var peers []string
	for _, other := range f.Entries {
		if f.Isolated {
			break
		}
		peers = append(peers, other.Peer)
	}
	e.Settings = filepath.Join(f.dir, "entry-"+name+".yaml")
	text := fmt.Sprintf("name: %s\navailability_zone: %s\nregion: %s\nlisten: {caller: %q, operator: %q, peer: %q}\nadvertise: {peer: %q}\nplatform: %s\npeers: [%s]\nlog: {level: debug, format: text}\n",
		name, zone, region, e.Caller, e.Operator, listen, e.Peer, f.Platform, strings.Join(peers, ", "))
	if !strings.Contains(extra, "peer_tls:") {
		text += "peer_tls: {plaintext: true}\n"
	}
	text += extra
	require.NoError(f.t, os.WriteFile(e.Settings, []byte(text), 0o600))
	f.Restart(e)
	f.Entries[name] = e
	return e
}

// zoneAddress returns an unused address on the loopback IP of the zone.
func (f *Fleet) zoneAddress(zone string) string {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	address := netip.MustParseAddrPort(procs.Address())
	if f.network.zones[zone] == "" {
		ip := address.Addr().As4()
		ip[1] = 128 | byte(len(f.network.zones)&7)<<4 | ip[1]&0x0f
		f.network.zones[zone] = netip.AddrFrom4(ip).String()
	}
	return netip.AddrPortFrom(netip.MustParseAddr(f.network.zones[zone]), address.Port()).String()
}

// Restart starts an entry's process with its existing settings. The previous process,
// if any, must have ended.
func (f *Fleet) Restart(e *Entry) {
	f.t.Helper()
	args := append([]string{"entry", "--settings", e.Settings}, f.EntryArgs...)
	p, err := f.Group.Start(e.Name, args...)
	require.NoError(f.t, err)
	e.Process = p
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.t.Logf("--- log of %s\n%s", e.Name, p.Log())
		}
	})
}

// Ready waits until every entry is ready.
func (f *Fleet) Ready() {
	f.t.Helper()
	for _, e := range f.Entries {
		require.NoError(f.t, procs.AwaitHTTP(e.URL("/healthz/ready")))
	}
}

// Apply writes the objects of a YAML text, and the upstream objects of all nodes,
// through an entry, and waits until all entries have them.
func (f *Fleet) Apply(through *Entry, text string) {
	f.t.Helper()
	sources, err := api.DecodeYAML("test.yaml", []byte(text))
	require.NoError(f.t, err)
	objects := api.Objects(sources)
	f.ApplyObjects(through, objects)
}

// ApplyObjects is like Apply but takes decoded objects.
func (f *Fleet) ApplyObjects(through *Entry, objects []*api.Object) {
	f.t.Helper()
	for _, n := range f.Nodes {
		objects = append(objects, n.Object)
	}
	reply, err := through.Client().Apply(context.Background(), operator.ApplyRequest{Objects: objects})
	require.NoError(f.t, err)
	for _, r := range reply.Results {
		require.Contains(f.t, []operator.Status{operator.StatusAccepted, operator.StatusUnchanged}, r.Status, "%+v", r)
	}
	for _, e := range f.Entries {
		require.NoError(f.t, procs.Await("the objects on "+e.Name, func() bool { return f.hasObjects(e, objects) }))
	}
}

func (f *Fleet) hasObjects(e *Entry, objects []*api.Object) bool {
	list, err := e.Client().List(context.Background(), "")
	if err != nil {
		return false
	}
	found := map[api.Key]bool{}
	for _, o := range list {
		found[o.Key()] = true
	}
	for _, o := range objects {
		if !found[o.Key()] {
			return false
		}
	}
	return true
}

// SetPlatformFaults sets the faults of the platform.
func (f *Fleet) SetPlatformFaults(faults platformstandin.Faults) {
	f.t.Helper()
	f.Put("http://"+f.Platform+"/v1/faults", faults)
}

// SetHosts sets the platform's host list.
func (f *Fleet) SetHosts(hosts []hosting.Host) {
	f.t.Helper()
	f.Put("http://"+f.Platform+"/v1/hosts", hosting.HostList{Hosts: hosts})
}

// Put sends a value as JSON to a stand-in with PUT.
func (f *Fleet) Put(url string, v any) { f.t.Helper(); f.send(http.MethodPut, url, v) }

// Post sends a value as JSON to a stand-in with POST.
func (f *Fleet) Post(url string, v any) { f.t.Helper(); f.send(http.MethodPost, url, v) }

func (f *Fleet) send(method, url string, v any) {
	f.t.Helper()
	data, err := json.Marshal(v)
	require.NoError(f.t, err)
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
}

// Read decodes the JSON response to a GET.
func (f *Fleet) Read(url string, out any) {
	f.t.Helper()
	resp, err := http.Get(url)
	require.NoError(f.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	require.NoError(f.t, json.Unmarshal(data, out), "%s", data)
}

// Stop stops every process gracefully and fails the test if a process does not exit
// with status 0 in time.
func (f *Fleet) Stop() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	require.NoError(f.t, f.Group.Stop(ctx))
}
