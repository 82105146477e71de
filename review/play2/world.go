package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"jaylink/standin/metastore"
)

// Ports of every gateway; each has a loopback IP of its own.
const (
	frontPort = 8360
	readyPort = 8365
	firstPort = 7500
	lastPort  = 7515
)

const (
	clientHost = "workshop.example"
	clientKey  = "key-1"
	tenant     = "tenant-1"
	binary     = "target/jaylink"
	zone       = "vasteras"
	maxBody    = 4 << 20
	allowance  = 500_879
	// startLimit is how long gateways may take until they are ready, and settleTime how long they
	// run before the first request, so that they know each other.
	startLimit = 15 * time.Second
	settleTime = 4 * time.Second
)

// world is the platform, the gateways and the record of one play.
type world struct {
	trouble  bool
	began    time.Time
	dir      string
	block    string
	store    *metastore.Server
	http     *http.Server
	address  string
	gateways []*gateway

	mu     sync.Mutex
	record *os.File
	out    *bufio.Writer
	ids    int
}

// gateway is one gateway process.
type gateway struct {
	w        *world
	name, ip string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newWorld(record string, trouble bool) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "play2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		trouble: trouble, began: time.Now(), dir: dir, store: metastore.New(), record: f, out: bufio.NewWriter(f),
		block: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(254)),
	}
	w.note("disruption: %t", trouble)
	l, err := net.Listen("tcp", w.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	w.http = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	// Serve returns when close ends the server.
	go func() { _ = w.http.Serve(l) }()
	return w, nil
}

// ip returns a loopback address of this play.
func (w *world) ip(n int) string { return fmt.Sprintf("%s%d", w.block, n) }

// note writes a line into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// newID returns a request ID that no other request has.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), w.ids)
}

func (w *world) close() {
	for _, g := range w.gateways {
		g.signal(syscall.SIGCONT)
		g.signal(syscall.SIGKILL)
		<-g.exited
	}
	_ = w.http.Close()
	_ = os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.out.Flush()
	_ = w.record.Close()
}

// startGateways starts n gateways and waits until they are ready.
func (w *world) startGateways(n int) error {
	for i := range n {
		g := &gateway{w: w, name: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: w.ip(1 + i)}
		g.settings = filepath.Join(w.dir, g.name+".conf")
		if err := os.WriteFile(g.settings, []byte(w.settingsOf(g)), 0o600); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// settingsOf returns the settings file of a gateway: the bounds are those of a small deployment.
func (w *world) settingsOf(g *gateway) string {
	return strings.Join([]string{
		"node-name=" + g.name, "role=entry", "machine-class=frontend", "serves=frontend", "ip=" + g.ip, "zone=" + zone,
		"region=svealand", "zones." + zone + "=svealand",
		fmt.Sprintf("bind.front=%s:%d", g.ip, frontPort), fmt.Sprintf("bind.ready=%s:%d", g.ip, readyPort),
		fmt.Sprintf("internal-ports=%d,%d", firstPort, lastPort),
		"bootstrap=true", "counts-as-loss=false", "limits.cpu-share=0.4", "limits.cores=1", "limits.memory-mb=284", "limits.max-fds=4100",
		"limits.link-mbps=1000.0", "limits.disk-mb=0", "discovery=platform", "entry=virtual_ip", "heartbeat-ms=1200",
		"bounds.seed-lag-s=3", "bounds.addr-reuse-s=2", "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catch-up-s=4",
		"bounds.drain-ms=2500", "bounds.grace-s=8", "bounds.loss-slack-ms=200", "bounds.config-apply-ms=2500",
		"bounds.rollback-slack-ms=250", "bounds.max-stretch-ms=5000", "bounds.strict-revoke=false", "bounds.revoke-ms=5000",
		"bounds.retry-budget-ratio=0.2", "bounds.budget-window-s=10", "bounds.retry-budget-extra=56", "bounds.quota-window-s=8",
		"bounds.quota-over=0.1", "bounds.quota-slack=140000", "bounds.require-fence=true", "bounds.lease-ms=3000", "bounds.thaw-ms=300",
		"bounds.usage-window-s=5", "bounds.usage-tolerance=0.05", "bounds.usage-late-s=10", "bounds.recover-s=12", "bounds.pass-ms=200",
		"bounds.reuse-window-s=4.7",
		"platform.address=" + w.address, "platform.form=objects", "platform.writes-per-s=400", "platform.reads-per-s=2000",
		"platform.history-s=20", "platform.value-bytes=1048576", "cloud-api.address=" + w.address, "cloud-api.rate-per-s=50.0",
		"cloud-api.duties=usage_reporting", "cloud-api.duty-per-s=50.0",
	}, "\n") + "\n"
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.Create(filepath.Join(g.w.dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.cmd = exec.Command(binary, "gateway")
	// The machines of a small deployment have one core.
	g.cmd.Env = append(os.Environ(), "JAYLINK_NODE_FILE="+g.settings, "GOMAXPROCS=1")
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	go func() {
		// The record shows what the process was told.
		_ = g.cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	g.w.note("gateway %s started at %s", g.name, g.front())
	return nil
}

// front is the address for clients.
func (g *gateway) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

// signal sends a signal to the process; it may have ended.
func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// freeze stops the process, as a machine that stands still, and thaw lets it go on.
func (g *gateway) freeze() {
	g.w.note("gateway %s stands still", g.name)
	g.signal(syscall.SIGSTOP)
}

func (g *gateway) thaw() {
	g.w.note("gateway %s goes on", g.name)
	g.signal(syscall.SIGCONT)
}

func (g *gateway) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", g.ip, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.name + " is not ready")
}

// route is a route of the config.
type route struct {
	name, kind, service string
	attempts, timeoutMs int
	resume              bool
}

// putConfig writes the first config, with engines and plain services.
func (w *world) putConfig(routes []route, engines, plain []string) {
	c := metastore.Configuration{
		Version: 1, Engines: engines, Plain: plain, MaxBodyBytes: maxBody,
		Customer: metastore.Customer{Name: tenant, Keys: []string{clientKey}, Rate: allowance, Burst: allowance},
	}
	for _, r := range routes {
		c.Routes = append(c.Routes, metastore.Route{
			Name: r.name, Host: clientHost, Service: r.service, Kind: r.kind, Attempts: r.attempts, Resumable: r.resume, TimeoutMs: r.timeoutMs,
		})
	}
	w.store.PutConfiguration(c)
}

// changeConfig writes the next version of the config after a change.
func (w *world) changeConfig(version int, change func(config map[string]any)) error {
	var config map[string]any
	if err := json.Unmarshal(w.store.Spec("config", "main"), &config); err != nil {
		return err
	}
	config["version"] = version
	change(config)
	w.store.Put("config", "main", config)
	return nil
}
