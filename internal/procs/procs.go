// Package procs starts jaylink processes for the demo, for process-level tests and for
// measurements, and stops each of them by its ID. Jaylink itself starts no processes.
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
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 10 * time.Millisecond
	// awaitTimeout bounds the wait for a condition.
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

// Run runs the binary until it exits and returns its output.
func (g *Group) Run(args ...string) (string, error) {
	out, err := exec.Command(g.binary, args...).CombinedOutput()
	return string(out), err
}

// Stop sends SIGTERM to each process, in reverse order of their start, and waits until
// it has exited. It returns an error for each process that did not exit with status 0.
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

// Kill kills every process of the group.
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

// Done is closed once the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal.
func (p *Process) Signal(sig os.Signal) error { return p.cmd.Process.Signal(sig) }

// Freeze sends SIGSTOP and waits until every thread has stopped. Sending the signal
// returns earlier: the threads keep running until the thread that handles the signal
// is scheduled, which takes milliseconds on a busy machine.
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
		// The state follows the command name, which is in parentheses.
		_, state, found := strings.Cut(string(stat), ") ")
		if err != nil || !found || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Stop sends SIGTERM and waits until the process has exited. It kills the process when
// ctx ends.
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

// Log returns the output of the process so far.
func (p *Process) Log() string { return p.log.String() }

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
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

// Await polls until the condition holds. It returns an error after awaitTimeout, which
// is far above the time of a run without faults.
func Await(what string, condition func() bool) error {
	deadline := time.Now().Add(awaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// AwaitHTTP polls until a GET of the URL returns status 200.
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

// firstPort is the base of the ports that Address returns. It is below the ephemeral
// port range, which the system uses for outgoing connections.
const firstPort = 20000

var lastPort atomic.Int32

// Address returns a new loopback address on each call. The IP is derived from the ID of
// this process, so that concurrent test processes on one machine do not collide, and
// the port is a counter.
func Address() string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+(pid>>16)&0x3f), byte(pid>>8), byte(pid))
	return net.JoinHostPort(ip.String(), strconv.Itoa(firstPort+int(lastPort.Add(1))))
}
