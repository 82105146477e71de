package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

// Names and numbers of the deployment that a soak serves.
const (
	host       = "soak.example"
	engines    = "caption"
	counter    = "counter"
	customer   = "customer-a"
	zones      = 2
	firstPort  = 17500
	lastPort   = 17515
	frontPort  = 18360
	readyPort  = 18365
	eventPace  = 15 * time.Millisecond
	graceTime  = 8 * time.Second
	memoryMB   = 256
	maxFiles   = 1000
	readyLimit = time.Second
	maxBody    = 100_000
	// allowance is the customer's, in tokens per second; callers ask for less.
	allowance = 400_000
)

// fleet is the platform, the upstreams and the entries of one run.
type fleet struct {
	dir     string
	binary  string
	store   *metastore.Server
	http    *http.Server
	address string
	entries []*entry

	mu        sync.Mutex
	upstreams []*backend
	// old holds upstreams that have gone, as their runs still count.
	old     []*backend
	version int
	keys    []acceptedKey
	born    int
	started int
}

// backend is an upstream behind a proxy.
type backend struct {
	*upstream.Server
	proxy   *proxy
	service string
	zone    string
}

// entry is one gateway process and its way to the store.
type entry struct {
	name, ip, zone string
	settings       string
	store          *proxy

	// fault is held while a fault of the process is under way: one process at a
	// time has the entry's ports.
	fault sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// disturbed is when the process was started, paused or resumed.
	disturbed []time.Time
}

// disturb notes that the process does not know or see everything at this moment.
func (e *entry) disturb() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbed = append(e.disturbed, time.Now())
}

// calm reports whether the process was left alone between two moments.
func (e *entry) calm(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.disturbed, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

func newFleet(dir, binary string, block, entries, upstreams int) (*fleet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, binary: binary, store: metastore.New(), address: l.Addr().String(), version: 1, keys: []acceptedKey{{name: "key-0"}}}
	f.http = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	// Serve ends with Close, in stop.
	go func() { _ = f.http.Serve(l) }()
	f.configure()
	for i := range upstreams {
		service := engines
		if i%2 == 1 {
			service = counter
		}
		if err := f.addUpstream(service, i%zones); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		e, err := f.newEntry(block, i)
		if err != nil {
			return nil, err
		}
		f.entries = append(f.entries, e)
		if err := f.start(e); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// configure writes the next version.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	names := make([]string, len(f.keys))
	for i, k := range f.keys {
		names[i] = k.name
	}
	route := func(name, kind, service string, attempts int, resumable bool) metastore.Route {
		return metastore.Route{
			Name: name, Host: host, Service: service, Kind: kind, Attempts: attempts, Resumable: resumable,
			TimeoutMs: int(callTimeout.Milliseconds()),
		}
	}
	f.store.PutConfiguration(metastore.Configuration{
		Version: f.version,
		Routes: []metastore.Route{
			route("stream", "streaming", engines, 2, true), route("once", "streaming", engines, 1, false),
			route("order", "non_idempotent", counter, 1, false), route("status", "idempotent", counter, 2, false),
		},
		Engines: []string{engines}, Plain: []string{counter}, MaxBodyBytes: maxBody,
		Customer: metastore.Customer{Name: customer, Keys: names, Rate: allowance, Burst: allowance},
	})
}

// acceptedKey is an API key and when the store accepted it.
type acceptedKey struct {
	name string
	at   time.Time
}

const (
	// keptKeys is how many keys are valid; it takes many changes until one goes.
	keptKeys = 12
	// applyBound is the time after which a version is in force everywhere.
	applyBound = 2500 * time.Millisecond
)

// newKey adds a key and takes the oldest away.
func (f *fleet) newKey() {
	f.mu.Lock()
	f.keys = append(f.keys, acceptedKey{fmt.Sprintf("key-%d", f.version), time.Now()})
	f.keys = f.keys[max(len(f.keys)-keptKeys, 0):]
	f.mu.Unlock()
	f.configure()
}

// key returns the newest key that every version which may be in force allows.
func (f *fleet) key() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.keys) - 1; i > 0; i-- {
		if time.Since(f.keys[i].at) > applyBound {
			return f.keys[i].name
		}
	}
	return f.keys[0].name
}

// newestKey returns the key that was accepted last.
func (f *fleet) newestKey() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys[len(f.keys)-1].name
}

func (f *fleet) addUpstream(service string, zone int) error {
	f.mu.Lock()
	f.born++
	id := fmt.Sprintf("i-%d", f.born)
	f.mu.Unlock()
	s, err := upstream.Start(id, "127.0.0.1")
	if err != nil {
		return err
	}
	s.Pace = eventPace
	p, err := newProxy(s.Address())
	if err != nil {
		return err
	}
	s.Deadly, s.Down, s.RestTime = deadlyMark, downTime, restTime
	s.Crashed, s.Restarted = p.down, p.up
	b := &backend{Server: s, proxy: p, service: service, zone: zoneName(zone)}
	f.mu.Lock()
	f.upstreams = append(f.upstreams, b)
	f.mu.Unlock()
	f.list(b, "ready")
	return nil
}

func (f *fleet) list(b *backend, state string) {
	f.store.PutUpstream(b.ID, b.service, b.proxy.address(), b.zone, state)
}

// retire takes an upstream off those that faults and replacements pick.
func (f *fleet) retire(i int) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	i %= len(f.upstreams)
	b := f.upstreams[i]
	f.upstreams = slices.Delete(f.upstreams, i, i+1)
	f.old = append(f.old, b)
	return b
}

// replace starts a new upstream and ends an old one: by draining, or at once.
func (f *fleet) replace(i int, drain bool, hold time.Duration) error {
	b := f.retire(i)
	if err := f.addUpstream(b.service, b.zoneIndex()); err != nil {
		return err
	}
	if drain {
		f.list(b, "draining")
		time.Sleep(hold)
	}
	f.end(b)
	return nil
}

// end ends an upstream and takes it off the list.
func (f *fleet) end(b *backend) {
	b.proxy.close()
	b.Close()
	f.store.DeleteUpstream(b.ID)
}

// zoneIndex is the number in the name of the upstream's zone.
func (b *backend) zoneIndex() int { return int(b.zone[len(b.zone)-1] - '0') }

// pick returns an upstream.
func (f *fleet) pick(i int) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[i%len(f.upstreams)]
}

// all returns every upstream that there is or was.
func (f *fleet) all() []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.upstreams, f.old)
}

// runs returns how often each request began to run.
func (f *fleet) runs() map[string]int {
	out := map[string]int{}
	for _, b := range f.all() {
		for _, r := range b.Runs() {
			out[r.RequestID]++
		}
	}
	return out
}

func (f *fleet) newEntry(block, i int) (*entry, error) {
	p, err := newProxy(f.address)
	if err != nil {
		return nil, err
	}
	e := &entry{
		name: fmt.Sprintf("entry-%d", i), zone: zoneName(i % zones), store: p,
		ip: fmt.Sprintf("127.%d.%d.%d", 192+block/250, 1+block%250, 1+i),
	}
	e.settings = filepath.Join(f.dir, e.name+".conf")
	settings := metastore.EntrySettings{
		Name: e.name, IP: e.ip, Zone: e.zone, Region: "region", Zones: []string{zoneName(0), zoneName(1)},
		FrontPort: frontPort, ReadyPort: readyPort, FirstPort: firstPort, LastPort: lastPort,
		MemoryMB: memoryMB, MaxFiles: maxFiles, GraceSeconds: graceTime.Seconds(), UsageWindowSeconds: 2, Store: p.address(),
	}
	return e, os.WriteFile(e.settings, []byte(settings.Text()), 0o600)
}

// start starts an entry's process.
func (f *fleet) start(e *entry) error {
	f.mu.Lock()
	f.started++
	name := fmt.Sprintf("%s.%d.log", e.name, f.started)
	f.mu.Unlock()
	log, err := os.Create(filepath.Join(f.dir, name))
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "gateway", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// How it ended shows in its log.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited = cmd, exited
	e.disturbed = append(e.disturbed, time.Now())
	return nil
}

// signal sends a signal to the entry's own process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The process may have ended; the run goes on with the next step.
	_ = e.cmd.Process.Signal(s)
}

// end signals an entry and waits for its end.
func (e *entry) end(s syscall.Signal) {
	e.signal(syscall.SIGCONT)
	e.signal(s)
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		e.signal(syscall.SIGKILL)
		<-exited
	}
}

// ready reports whether an entry answers that it takes callers.
func (e *entry) ready() bool {
	client := &http.Client{Timeout: readyLimit}
	defer client.CloseIdleConnections()
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", e.ip, readyPort))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) front() string { return fmt.Sprintf("%s:%d", e.ip, frontPort) }

// stop ends everything that the fleet has started.
func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, e := range f.entries {
		wait.Add(1)
		go func() {
			defer wait.Done()
			e.end(syscall.SIGTERM)
			e.store.close()
		}()
	}
	wait.Wait()
	// Closing a server only fails for a listener that is closed already.
	_ = f.http.Close()
	for _, b := range f.upstreams {
		b.proxy.close()
		b.Close()
	}
}
