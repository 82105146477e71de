package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/standin/metastore"
)

// Bounds of a small deployment, as the settings state them.
const (
	drainBound   = 2500 * time.Millisecond
	configBound  = 2500 * time.Millisecond
	contactBound = 3000 * time.Millisecond
)

// deployment has the availability zones of a small deployment.
type deployment struct {
	// zones has them with the number of entries in each.
	zones []zoneEntries
	// regions maps them to their regions.
	regions map[string]string
}

type zoneEntries struct {
	zone    string
	entries int
}

var (
	workshops = deployment{
		[]zoneEntries{{"vasteras", 3}, {"jonkoping", 3}, {"orebro", 2}},
		map[string]string{"vasteras": "svealand", "orebro": "svealand", "jonkoping": "gotaland"},
	}
	studios = deployment{
		[]zoneEntries{{"surat-a", 3}, {"mehsana-a", 3}, {"surat-b", 2}},
		map[string]string{"surat-a": "west-guj", "surat-b": "west-guj", "mehsana-a": "north-guj"},
	}
)

// zone returns the availability zone of the nth server.
func (d deployment) zone(n int) string { return d.zones[n%len(d.zones)].zone }

// record is the file with what was sent, answered and run. Lines have the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a store, gateways and upstreams on loopback addresses.
type fleet struct {
	rec       *record
	dir       string
	subnet    string
	store     *metastore.Server
	storeAddr string
	entries   []*entry
	at        deployment
}

// entry is one gateway process.
type entry struct {
	name, zone, ip, front string
	settings              string
	cmd                   *exec.Cmd
	log                   *os.File
	done                  chan struct{}
	mu                    sync.Mutex
	// out lists the times in which the entry was not in touch.
	out []span
}

// span is a time with a beginning and an end.
type span struct{ from, until time.Time }

// watchRank is the order in which entries watch the store: the three lowest do.
func (e *entry) watchRank() uint64 { return xxhash.Sum64String(e.name) }

// freePorts finds a block of ports that is free on an address.
func freePorts(ip string, n int) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if first+n >= 32000 && first+n < 65000 {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

// newFleet starts the store.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{rec: rec, dir: dir, subnet: fmt.Sprintf("127.%d.%d", 64+pid>>8&63, pid&255), store: metastore.New()}
	l, err := net.Listen("tcp", f.subnet+".200:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f, nil
}

// settingsText returns the settings file of an entry.
func (f *fleet) settingsText(e *entry, first int) string {
	var b strings.Builder
	for zone, region := range f.at.regions {
		fmt.Fprintf(&b, "zones.%s=%s\n", zone, region)
	}
	port := func(n int) string { return net.JoinHostPort(e.ip, strconv.Itoa(first+n)) }
	fmt.Fprintf(&b, `node-name=%s
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
limits.memory-mb=284
limits.max-fds=4100
bounds.contact-ms=3000
bounds.drain-ms=2500
bounds.grace-s=8
bounds.config-apply-ms=2500
bounds.retry-budget-ratio=0.2
bounds.budget-window-s=10
bounds.retry-budget-extra=56
bounds.quota-window-s=8
bounds.quota-slack=140000
bounds.require-fence=true
bounds.lease-ms=3000
bounds.usage-window-s=5
bounds.usage-late-s=10
platform.address=%s
platform.form=objects
cloud-api.address=%s
cloud-api.duties=usage_reporting
`, e.name, e.ip, e.zone, f.at.regions[e.zone], port(0), port(1), first+2, first+17, f.storeAddr, f.storeAddr)
	e.front = port(0)
	return b.String()
}

// addEntry starts a gateway with the command of the deploy file.
func (f *fleet) addEntry(name, zone string) (*entry, error) {
	e := &entry{name: name, zone: zone, ip: fmt.Sprintf("%s.%d", f.subnet, 10+len(f.entries))}
	first, err := freePorts(e.ip, 20)
	if err != nil {
		return nil, err
	}
	e.settings = filepath.Join(f.dir, name+".conf")
	if err := os.WriteFile(e.settings, []byte(f.settingsText(e, first)), 0o600); err != nil {
		return nil, err
	}
	f.entries = append(f.entries, e)
	return e, f.start(e)
}

func (f *fleet) start(e *entry) error {
	log, err := os.OpenFile(filepath.Join(f.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/jaylink", "gateway")
	cmd.Env = append(os.Environ(), "JAYLINK_NODE_FILE="+e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	e.cmd, e.log, e.done = cmd, log, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// awaitReady waits until every entry reports ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, e := range f.entries {
		host, port, _ := net.SplitHostPort(e.front)
		n, _ := strconv.Atoi(port)
		url := "http://" + net.JoinHostPort(host, strconv.Itoa(n+1)) + "/v1/ready"
		for {
			resp, err := http.Get(url)
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// freeze stops an entry for a time. It is in touch again the contact bound after that.
func (f *fleet) freeze(e *entry, d time.Duration) {
	f.rec.add("freeze %s for %v", e.name, d)
	e.setOut(time.Now(), time.Now().Add(d+contactBound+200*time.Millisecond))
	_ = e.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = e.cmd.Process.Signal(syscall.SIGCONT)
	f.rec.add("thaw %s", e.name)
}

func (e *entry) setOut(from, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.out = append(e.out, span{from, until})
}

// inTouch reports whether the entry was in touch at a time.
func (e *entry) inTouch(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.out, func(s span) bool { return at.After(s.from) && at.Before(s.until) })
}

// stop ends all processes.
func (f *fleet) stop(keepLogs bool) {
	for _, e := range f.entries {
		if e.cmd == nil {
			continue
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.done
		_ = e.log.Close()
	}
	if !keepLogs {
		_ = os.RemoveAll(f.dir)
	}
}

// watchers returns the entries that watch the store.
func (f *fleet) watchers() []*entry {
	list := slices.Clone(f.entries)
	slices.SortFunc(list, func(a, b *entry) int {
		if a.watchRank() < b.watchRank() {
			return -1
		}
		return 1
	})
	return list[:3]
}
