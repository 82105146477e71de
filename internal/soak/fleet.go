package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

// Names and sizes of the deployment that a soak run uses.
const (
	host          = "soak.example"
	engines       = "caption"
	counter       = "counter"
	customer      = "customer-a"
	zones         = 2
	firstPort     = 17500
	lastPort      = 17515
	frontPort     = 18360
	readyPort     = 18365
	eventInterval = 15 * time.Millisecond
	graceTime     = 8 * time.Second
	memoryMB      = 256
	maxFiles      = 1000
	readyLimit    = time.Second
	maxBody       = 100_000
	addressBlocks = 10_000
	// lastEntryIP is the last part of the highest address that an entry may have.
	lastEntryIP = 150
	// onceAttempts is the number of attempts on the routes whose requests may run once. It
	// leaves room for repeating one that was refused, and so for repeating one that has run.
	onceAttempts = 3
	// allowance is the customer's rate limit in tokens per second; the callers use less.
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
	// gappedIDs is set if the IDs of a stream's events have gaps.
	gappedIDs bool
	processes []*process

	mu        sync.Mutex
	upstreams []*backend
	// removed holds upstreams that are no longer used; their runs are still checked.
	removed []*backend
	// reusers are upstreams that got the addresses of removed ones, and reusedCount their number.
	reusers       []*backend
	reusedCount   int
	version       int
	keys          []acceptedKey
	upstreamCount int
	starts        int
	plannedWork   []plannedWork
	// visits is what came of the requests of visitors. guestKey is a further key that is in force,
	// or "", and lateUses are requests with such keys after they were withdrawn.
	visits   []observation
	guestKey string
	lateUses []lateUse
	// variesPace is set if some upstreams are slow, and paces draws how fast each is.
	variesPace bool
	paces      *rand.Rand
	// oneCore makes entries use one core, as on small hosts. After a freeze, the deadline of a read is
	// handled before its connection there.
	oneCore bool
	// kinds draws what each new upstream is like.
	kinds *rand.Rand
	// senders holds the entry that each request was sent to, by request ID.
	senders map[string]*entry

	// oneByOne is held by a fault that no other of its series may overlap.
	oneByOne sync.Mutex
	// inTouch judges keys that are refused by entries in touch alone.
	inTouch bool
	// departures are the upstreams that have left, as the store was told.
	departures []departure

	// storeDisturbed has the times of the store's faults.
	storeDisturbed timeline

	// restoring is held while the store is away and restored, and writes while the operator
	// or an upstream writes to it.
	restoring, writes sync.Mutex
	// started counts the servers of upstreams.
	started atomic.Int64
	// configuration and registrations are what the operator and the upstreams have written.
	configuration metastore.Configuration
	registrations map[string]registration
}

// registration is how an upstream is registered. The state is "" if it was removed, and
// startMillis is the start time of its process.
type registration struct {
	id, service, address, zone, state string
	startMillis                       int64
}

// backend is an upstream behind a proxy.
type backend struct {
	*upstream.Server
	proxy   *proxy
	service string
	zone    string
	// gone is set once the upstream was stopped and removed from the store, and reused once its
	// address was given out again.
	gone, reused bool
}

func newFleet(o Options, dir string) (*fleet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	kinds := rand.New(rand.NewPCG(o.Seed, kindStream))
	f := &fleet{dir: dir, binary: o.Binary, kinds: kinds, variesPace: o.Planned || o.Frozen, oneCore: o.Frozen, inTouch: o.Silent, paces: rand.New(rand.NewPCG(o.Seed, paceStream)), gappedIDs: kinds.IntN(2) == 0, store: metastore.New(), address: l.Addr().String(), version: 1, keys: []acceptedKey{{name: "key-0"}}, senders: map[string]*entry{}, registrations: map[string]registration{}}
	f.http = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	// Serve returns when stop closes the server.
	go func() { _ = f.http.Serve(l) }()
	f.configure()
	for i := range o.Upstreams {
		service := engines
		if i%2 == 1 {
			service = counter
		}
		if err := f.addUpstream(service, i%zones); err != nil {
			return nil, err
		}
	}
	if err := f.addProcesses(o); err != nil {
		return nil, err
	}
	for i := range o.Entries {
		e, err := f.newEntry(i)
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

// configure writes the next version of the configuration.
func (f *fleet) configure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	names := make([]string, len(f.keys))
	for i, k := range f.keys {
		names[i] = k.name
	}
	if f.guestKey != "" {
		names = append(names, f.guestKey)
	}
	route := func(name, kind, service string, attempts int, resumable bool) metastore.Route {
		return metastore.Route{
			Name: name, Host: host, Service: service, Kind: kind, Attempts: attempts, Resumable: resumable,
			TimeoutMs: int(callTimeout.Milliseconds()),
		}
	}
	f.writes.Lock()
	defer f.writes.Unlock()
	f.configuration = metastore.Configuration{
		Version: f.version,
		Routes: []metastore.Route{
			route("stream", "streaming", engines, 2, true), route("once", "streaming", engines, onceAttempts, false),
			route("order", "non_idempotent", counter, onceAttempts, false), route("status", "idempotent", counter, 2, false),
		},
		Engines: []string{engines}, Plain: []string{counter}, MaxBodyBytes: maxBody,
		Customer: metastore.Customer{Name: customer, Keys: names, Rate: allowance, Burst: allowance},
	}
	f.store.PutConfiguration(f.configuration)
}

// acceptedKey is an API key and the time when the store accepted it.
type acceptedKey struct {
	name string
	at   time.Time
}

const (
	// maxKeys is the number of valid keys. A key stays valid until that many newer
	// ones were added.
	maxKeys = 12
	// applyBound is the time after which a version is in effect on all entries.
	applyBound = 2500 * time.Millisecond
)

// newKey adds a key and removes the oldest one if there are more than maxKeys.
func (f *fleet) newKey() {
	f.mu.Lock()
	name := fmt.Sprintf("key-%d", f.version)
	f.keys = append(f.keys, acceptedKey{name, time.Now()})
	f.keys = f.keys[max(len(f.keys)-maxKeys, 0):]
	f.mu.Unlock()
	f.configure()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.keys {
		// The store may have been away, so the key was accepted only now.
		if f.keys[i].name == name {
			f.keys[i].at = time.Now()
		}
	}
}

// key returns the newest key that is valid in every version that may be in effect on
// an entry.
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

// newestKey returns the most recently accepted key.
func (f *fleet) newestKey() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys[len(f.keys)-1].name
}

func (f *fleet) addUpstream(service string, zone int) error {
	f.mu.Lock()
	f.upstreamCount++
	id := fmt.Sprintf("i-%d", f.upstreamCount)
	f.mu.Unlock()
	s, err := f.startServer(id)
	if err != nil {
		return err
	}
	p, err := newProxy(s.Address())
	if err != nil {
		return err
	}
	s.Undelimited, p.death = f.drawKind()
	f.describe(s, service, p)
	b := &backend{Server: s, proxy: p, service: service, zone: zoneName(zone)}
	f.mu.Lock()
	f.upstreams = append(f.upstreams, b)
	f.mu.Unlock()
	f.publish(b, "ready")
	return nil
}

// startGap is the difference between the first start times of two upstreams, in milliseconds. It is
// more than the number of times that one starts again: no two processes state the same time.
const startGap = 1_000_000

// startServer starts the server of a new upstream.
func (f *fleet) startServer(id string) (*upstream.Server, error) {
	s := &upstream.Server{ID: id}
	return s, s.Listen("127.0.0.1:0", upstream.FirstStart+startGap*f.started.Add(1))
}

// describe sets the properties that all upstreams have.
func (f *fleet) describe(s *upstream.Server, service string, p *proxy) {
	s.Pace, s.NamesRuns, s.GappedIDs = f.drawPace(service), true, f.gappedIDs
	s.RenewsStart = true
	s.Deadly, s.DeadlyParts, s.Down, s.RestTime = deadlyMark, deadlyParts, downTime, restTime
	s.Crashed, s.Restarted = p.down, func() {
		p.up()
		f.registerAgain(s.ID, s.StartMillis())
	}
}

func (f *fleet) publish(b *backend, state string) {
	f.register(registration{b.ID, b.service, b.proxy.address(), b.zone, state, b.StartMillis()})
}

func (f *fleet) register(r registration) {
	f.writes.Lock()
	defer f.writes.Unlock()
	f.registrations[r.id] = r
	f.writeRegistration(r)
}

// substitute starts a new upstream in place of another one, which is returned and goes on. Faults
// and replacements choose it no more.
func (f *fleet) substitute(i int) (*backend, error) {
	b := f.detach(i)
	return b, f.addUpstream(b.service, b.zoneIndex())
}

// detach removes an upstream from those that faults and replacements choose from.
func (f *fleet) detach(i int) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	i %= len(f.upstreams)
	b := f.upstreams[i]
	f.upstreams = slices.Delete(f.upstreams, i, i+1)
	f.removed = append(f.removed, b)
	return b
}

// replace starts a new upstream and stops an old one, either after draining it or
// immediately.
func (f *fleet) replace(i int, drain bool, hold time.Duration) error {
	b, err := f.substitute(i)
	if err != nil {
		return err
	}
	if drain {
		f.publish(b, "draining")
		time.Sleep(hold)
	}
	f.remove(b)
	return nil
}

// remove stops an upstream and deletes it from the store.
func (f *fleet) remove(b *backend) {
	b.proxy.down()
	b.Close()
	f.publish(b, "")
	f.mu.Lock()
	defer f.mu.Unlock()
	b.gone = true
}

// writeRegistration writes a registration to the store. The caller holds writes.
func (f *fleet) writeRegistration(r registration) {
	if r.state == "" {
		f.store.DeleteUpstream(r.id)
		return
	}
	f.store.PutUpstreamProcess(r.id, r.service, r.address, r.zone, r.state, r.startMillis)
}

// zoneIndex returns the number in the name of the upstream's zone.
func (b *backend) zoneIndex() int { return int(b.zone[len(b.zone)-1] - '0') }

// pick returns the i-th current upstream, modulo their number.
func (f *fleet) pick(i int) *backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstreams[i%len(f.upstreams)]
}

// all returns the current and the removed upstreams and those with addresses of removed ones.
func (f *fleet) all() []*backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.upstreams, f.removed, f.reusers)
}

// blockIP returns an IP address of this process's block. Concurrent runs use different blocks.
func blockIP(last int) string {
	block := os.Getpid() % addressBlocks
	return fmt.Sprintf("127.%d.%d.%d", 192+block/250, 1+block%250, last)
}

// stop stops all processes and servers that the fleet has started.
func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, e := range f.entries {
		wait.Add(1)
		go func() {
			defer wait.Done()
			e.terminate(syscall.SIGTERM)
			e.store.close()
		}()
	}
	wait.Wait()
	// Close fails only if the listener is closed already.
	_ = f.http.Close()
	for _, b := range f.upstreams {
		b.proxy.close()
		b.Close()
	}
	for _, p := range f.processes {
		p.stop()
	}
	for _, b := range f.removed {
		b.proxy.close()
	}
}
