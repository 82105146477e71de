// Package procs starts jaylink processes for the demo, for process-level tests
// and for measurements, and stops each of them by its ID. The product itself
// starts no process.
package procs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// pollInterval is the time between two looks at an awaited condition.
	pollInterval = 10 * time.Millisecond
	// awaitTimeout bounds the wait for an event that must come.
	awaitTimeout = 60 * time.Second
)

// Group is a set of processes.
type Group struct {
	binary string
	mu     sync.Mutex
	procs  []*Process
}

// Process is one running process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *lockedBuffer
	done chan struct{}
	err  error
}

// NewGroup returns a group that starts the jaylink binary at a path.
func NewGroup(binary string) *Group { return &Group{binary: binary} }

// Start runs the binary with arguments.
func (g *Group) Start(name string, args ...string) (*Process, error) {
	p := &Process{Name: name, cmd: exec.Command(g.binary, args...), log: &lockedBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.procs = append(g.procs, p)
	return p, nil
}

// Run runs the binary to its end and returns what it printed.
func (g *Group) Run(args ...string) (string, error) {
	out, err := exec.Command(g.binary, args...).CombinedOutput()
	return string(out), err
}

// Stop sends SIGTERM to each process, the last one started first, and waits for
// its end. It returns an error for each that did not exit with 0.
func (g *Group) Stop(ctx context.Context) error {
	g.mu.Lock()
	list := g.procs
	g.procs = nil
	g.mu.Unlock()
	var errs []error
	for i := len(list) - 1; i >= 0; i-- {
		errs = append(errs, list[i].Stop(ctx))
	}
	return errors.Join(errs...)
}

// Kill ends every process of the group at once.
func (g *Group) Kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.procs {
		p.Kill()
	}
	g.procs = nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal.
func (p *Process) Signal(sig os.Signal) error { return p.cmd.Process.Signal(sig) }

// Freeze sends SIGSTOP and waits until every thread has stopped. The signal alone
// returns earlier: the threads go on until the one that takes the signal has run,
// which takes milliseconds on a busy machine.
func (p *Process) Freeze() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return Await(p.Name+" to be stopped", p.stopped)
}

// stopped reports whether all threads of the process are in the state T (stopped)
// of proc(5).
func (p *Process) stopped() bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil || len(files) == 0 {
		return false
	}
	for _, f := range files {
		stat, err := os.ReadFile(f)
		// The state follows the command name, which stands in parentheses.
		_, state, found := strings.Cut(string(stat), ") ")
		if err != nil || !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM and waits for the process to end.
func (p *Process) Stop(ctx context.Context) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		p.Kill()
		return fmt.Errorf("%s did not stop: %w", p.Name, ctx.Err())
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w\n%s", p.Name, p.err, p.Log())
	}
	return nil
}

// Log returns what the process has printed.
func (p *Process) Log() string { return p.log.String() }

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Await polls until the condition holds. It fails only after a time that no
// healthy run comes near.
func Await(what string, condition func() bool) error {
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("gave up waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// AwaitHTTP polls until a GET of the URL answers 200.
func AwaitHTTP(url string) error {
	return Await(url, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// firstPort is the first port that Address gives out. It is below the ports
// that the system gives to outgoing connections.
const firstPort = 20000

var lastPort atomic.Int32

// Address returns a loopback address that no other caller gets. The IP number
// is derived from the ID of this process, so that several test processes on one
// machine never meet, and the ports count up.
func Address() string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+(pid>>16)&0x3f), byte(pid>>8), byte(pid))
	return net.JoinHostPort(ip.String(), strconv.Itoa(firstPort+int(lastPort.Add(1))))
}
