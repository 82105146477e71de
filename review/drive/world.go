package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"jaylink/standin/metastore"
)

// Ports of the gateways. Each gateway has a loopback address of its own.
const (
	frontPort = 28360
	readyPort = 28365
	firstPort = 27500
	lastPort  = 27515
)

// startLimit is how long the gateways may take to become ready.
const startLimit = 20 * time.Second

// world is a small deployment: a store, gateways and what the case adds.
type world struct {
	trouble bool
	dir     string
	began   time.Time
	record  *os.File
	mu      sync.Mutex
	// store is the platform's store and its cloud API, at storeAddress.
	store        *metastore.Server
	storeServer  *http.Server
	storeAddress string
	gateways     []*node
	closers      []func()
	version      int
}

// node is one gateway process.
type node struct {
	name, ip, zone string
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }
func (n *node) ready() string { return fmt.Sprintf("%s:%d", n.ip, readyPort) }

func newWorld(folder string, trouble bool) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, began: time.Now(), record: record, store: metastore.New(), storeAddress: l.Addr().String(), version: 10}
	w.storeServer = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	// Serve returns when close closes the server.
	go func() { _ = w.storeServer.Serve(l) }()
	w.logf("disruption: %v", trouble)
	return w, nil
}

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// must ends the case if it can't run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func (w *world) close() {
	for _, n := range w.gateways {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	for _, f := range w.closers {
		f()
	}
	_ = w.storeServer.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// regions of the zones.
var regions = map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-2"}

// startGateways starts gateways in the zones in turn, as the deploy file does, and waits
// until all are ready.
func (w *world) startGateways(n int, zones ...string) {
	base := 16 + os.Getpid()%200
	for i := range n {
		g := &node{name: fmt.Sprintf("frontend-%d", i+1), zone: zones[i%len(zones)]}
		for octet := 1; ; octet++ {
			g.ip = fmt.Sprintf("127.%d.%d.%d", base, octet, i+1)
			if isFree(g.ip) {
				break
			}
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		w.start(g)
	}
	deadline := time.Now().Add(startLimit)
	for _, g := range w.gateways {
		for !isReady(g) {
			if time.Now().After(deadline) {
				panic("gateway " + g.name + " did not become ready")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.logf("%d gateways are ready", n)
}

// isFree reports whether the ports of a gateway are free at an address.
func isFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, firstPort, firstPort + 1, lastPort - 1} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func isReady(g *node) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready() + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts the process of a gateway.
func (w *world) start(g *node) {
	settings := filepath.Join(w.dir, g.name+".conf")
	must(os.WriteFile(settings, []byte(w.settings(g)), 0o600))
	log, err := os.Create(filepath.Join(w.dir, g.name+".log"))
	must(err)
	g.cmd = exec.Command("target/jaylink", "gateway")
	g.cmd.Env = []string{"JAYLINK_NODE_FILE=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(g.cmd.Start())
	exited := make(chan struct{})
	g.exited = exited
	go func() {
		_ = g.cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	w.logf("started %s in %s", g.name, g.zone)
}

// settings returns the settings file of a gateway, with the bounds of the small sites.
func (w *world) settings(g *node) string {
	text := fmt.Sprintf(`node-name=%s
role=entry
machine-class=frontend
serves=frontend
ip=%s
zone=%s
region=%s
bind.front=%s
bind.ready=%s
internal-ports=%d,%d
bootstrap=true
limits.cpu-share=0.4
limits.cores=1
limits.memory-mb=284
limits.max-fds=4100
limits.link-mbps=1000.0
discovery=platform
heartbeat-ms=1200
bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.contact-ms=3000
bounds.drain-ms=2500
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2500
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-budget-extra=56
bounds.quota-window-s=8
bounds.quota-over=0.1
bounds.quota-slack=140000
bounds.require-fence=true
bounds.lease-ms=3000
bounds.usage-window-s=5
bounds.usage-tolerance=0.05
bounds.usage-late-s=10
bounds.recover-s=12
bounds.pass-ms=200
platform.address=%s
platform.form=objects
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
cloud-api.address=%s
cloud-api.rate-per-s=50.0
cloud-api.duties=usage_reporting,autoscaling
cloud-api.duty-per-s=50.0
`, g.name, g.ip, g.zone, regions[g.zone], g.front(), g.ready(), firstPort, lastPort, w.storeAddress, w.storeAddress)
	for zone, region := range regions {
		text += "zones." + zone + "=" + region + "\n"
	}
	return text
}

// Names in the configuration.
const (
	host   = "shop.example"
	key    = "key-1"
	tenant = "tenant-1"
)

// route is a route of the configuration; its prefix is its name.
type route struct {
	name, kind, service string
	attempts            int
	resumable           bool
	timeout             time.Duration
}

// service is a service of the configuration.
type service struct {
	name   string
	engine bool
}

// configure writes the next version of the configuration, as the operator does.
func (w *world) configure(routes []route, services []service) {
	w.version += 3
	c := metastore.Configuration{Version: w.version, MaxBodyBytes: 4 << 20, Customer: metastore.Customer{Name: tenant, Keys: []string{key}}}
	for _, r := range routes {
		c.Routes = append(c.Routes, metastore.Route{
			Name: r.name, Host: host, Service: r.service, Kind: r.kind, Attempts: r.attempts, Resumable: r.resumable, TimeoutMs: int(r.timeout.Milliseconds()),
		})
	}
	for _, s := range services {
		if s.engine {
			c.Engines = append(c.Engines, s.name)
		} else {
			c.Plain = append(c.Plain, s.name)
		}
	}
	w.store.PutConfiguration(c)
	w.logf("the store has confirmed config version %d", w.version)
}
