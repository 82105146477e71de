package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"jaylink/standin/metastore"
)

// entry is one gateway process and the proxy through which it reaches the store.
type entry struct {
	name, ip, zone string
	settings       string
	store          *proxy

	// fault is held while a fault of the process is in progress, because only one
	// process at a time can use the entry's ports.
	fault sync.Mutex

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// disturbances are the times when the process was started, paused or resumed.
	disturbances []time.Time
	// disturbed has the times in which the process was stopped, killed or paused, up to its next
	// start.
	disturbed timeline
}

// markDisturbed records that the process may have missed updates at this moment.
func (e *entry) markDisturbed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbances = append(e.disturbances, time.Now())
}

// undisturbed reports whether the process was not started, paused or resumed between
// two times.
func (e *entry) undisturbed(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(e.disturbances, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

func (f *fleet) newEntry(i int) (*entry, error) {
	p, err := newProxy(f.address)
	if err != nil {
		return nil, err
	}
	e := &entry{
		name: fmt.Sprintf("entry-%d", i), zone: zoneName(i % zones), store: p,
		ip: blockIP(1 + i),
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
	f.starts++
	name := fmt.Sprintf("%s.%d.log", e.name, f.starts)
	f.mu.Unlock()
	log, err := os.Create(filepath.Join(f.dir, name))
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "gateway", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if f.oneCore {
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// The log shows why the process ended.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited = cmd, exited
	e.disturbances = append(e.disturbances, time.Now())
	return nil
}

// signal sends a signal to the entry's process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The process may have ended already; that is not an error here.
	_ = e.cmd.Process.Signal(s)
}

// terminate signals an entry's process and waits until it has exited. It kills the
// process after graceTime.
func (e *entry) terminate(s syscall.Signal) {
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

// ready reports whether the entry's readiness check succeeds.
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

func (e *entry) callerAddress() string { return fmt.Sprintf("%s:%d", e.ip, frontPort) }
