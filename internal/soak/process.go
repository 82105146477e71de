package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"jaylink/standin/upstream"
)

const (
	// processPort is the port of upstreams that are processes. Each has an IP address of its own.
	processPort = 17400
	// runsPerStart separates the numbers of the runs of one start of a process from the next's.
	runsPerStart = 1_000_000
)

// process is an upstream that is a process of its own. The kernel ends its connections, and the
// proxy, if there is one, goes on listening without it.
type process struct {
	id, service, zone string
	listen, records   string
	undelimited       bool
	pace              time.Duration
	proxy             *proxy
	// paused has the times in which the process was stopped.
	paused timeline

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
	ended  bool
	// failed is why the process could not be started again.
	failed error
	// tasks has the goroutine that starts the process again.
	tasks sync.WaitGroup
}

// errEnded means that a process is not started again.
var errEnded = errors.New("process has been ended for good")

// processes are the faults of upstreams that are processes. They run concurrently with the other
// series.
var processes = []fault{
	{"process_killed", func(f *fleet, rng *rand.Rand, _ time.Duration) string {
		p := f.processes[rng.IntN(len(f.processes))]
		p.signal(syscall.SIGKILL)
		time.Sleep(endPause)
		return p.id
	}},
	{"process_paused", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		p := f.processes[rng.IntN(len(f.processes))]
		resumed := p.paused.begin()
		p.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		// The process may record the end of its work before the signal has returned.
		resumed()
		p.signal(syscall.SIGCONT)
		time.Sleep(endPause)
		return p.id
	}},
}

// addProcesses starts the upstreams that are processes, of each service one with a proxy and one
// without, and so on.
func (f *fleet) addProcesses(o Options) error {
	kinds := rand.New(rand.NewPCG(o.Seed, processKindStream))
	for i := range o.Processes {
		f.upstreamCount++
		p := &process{
			id: fmt.Sprintf("i-%d", f.upstreamCount), service: []string{engines, counter}[i%2], zone: zoneName(i / 2 % zones),
			listen: fmt.Sprintf("%s:%d", blockIP(lastEntryIP+1+i), processPort), undelimited: kinds.IntN(2) == 0,
		}
		p.pace = f.drawPace(p.service)
		p.records = filepath.Join(f.dir, p.id+".records")
		if i/2%2 == 0 {
			var err error
			if p.proxy, err = newProxy(p.listen); err != nil {
				return err
			}
		}
		if err := f.startProcess(p); err != nil {
			return err
		}
		f.processes = append(f.processes, p)
		p.tasks.Go(func() { f.keepRunning(p) })
	}
	return nil
}

// keepRunning starts a process again some time after each of its ends.
func (f *fleet) keepRunning(p *process) {
	for {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		<-exited
		time.Sleep(downTime)
		switch err := f.startProcess(p); {
		case errors.Is(err, errEnded):
			return
		case err != nil:
			p.mu.Lock()
			p.failed = err
			p.mu.Unlock()
			return
		}
	}
}

// startProcess starts the process of an upstream, which is registered once it listens.
func (f *fleet) startProcess(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.dir, p.id+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return errEnded
	}
	start := time.Now().UnixMilli()
	args := []string{
		"standin", "upstream", "--listen", p.listen, "--id", p.id, "--records", p.records, "--pace", p.pace.String(),
		"--start", strconv.FormatInt(start, 10), "--first-run", strconv.Itoa(p.starts * runsPerStart), "--deadly", deadlyMark,
	}
	for _, part := range deadlyParts {
		args = append(args, "--deadly-part", part)
	}
	if p.undelimited {
		args = append(args, "--undelimited")
	}
	if f.gappedIDs {
		args = append(args, "--gapped-ids")
	}
	cmd := exec.Command(f.binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with its standard input.
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// An end by a signal is part of the run.
		_ = cmd.Wait()
		_ = stdin.Close()
		close(exited)
	}()
	p.cmd, p.exited, p.starts = cmd, exited, p.starts+1
	p.waitUntilListening(exited)
	f.register(registration{p.id, p.service, p.address(), p.zone, "ready", start})
	return nil
}

// waitUntilListening returns when the process accepts connections or has ended.
func (p *process) waitUntilListening(exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(listenPoll):
		}
		c, err := net.Dial("tcp", p.listen)
		if err == nil {
			_ = c.Close()
			return
		}
	}
}

func (p *process) address() string {
	if p.proxy != nil {
		return p.proxy.address()
	}
	return p.listen
}

// signal sends a signal to the process if it has not ended.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The process may have ended already; that is not an error here.
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process for good.
func (p *process) stop() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	p.tasks.Wait()
	if p.proxy != nil {
		p.proxy.close()
	}
}

// seen is what all upstreams have noted of the requests that they got.
type seen struct {
	arrivals    []upstream.Arrival
	runs        []upstream.Run
	partCrashes []upstream.PartCrash
	works       []upstream.Work
}

// readSeen collects what all upstreams have noted.
func (f *fleet) readSeen() (seen, error) {
	var out seen
	for _, b := range f.all() {
		out.arrivals = append(out.arrivals, b.Arrivals()...)
		out.runs = append(out.runs, b.Runs()...)
		out.partCrashes = append(out.partCrashes, b.PartCrashes()...)
		out.works = append(out.works, b.Works()...)
	}
	for _, p := range f.processes {
		records, err := p.readRecords()
		if err != nil {
			return out, fmt.Errorf("records of %s: %w", p.id, err)
		}
		for _, r := range records {
			switch {
			case r.Arrival != nil:
				out.arrivals = append(out.arrivals, *r.Arrival)
			case r.Run != nil:
				out.runs = append(out.runs, *r.Run)
			case r.PartCrash != nil:
				out.partCrashes = append(out.partCrashes, *r.PartCrash)
			case r.Work != nil:
				out.works = append(out.works, *r.Work)
			}
		}
	}
	return out, nil
}

func (p *process) readRecords() ([]upstream.Record, error) {
	p.mu.Lock()
	failed := p.failed
	p.mu.Unlock()
	if failed != nil {
		return nil, failed
	}
	file, err := os.Open(p.records)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return upstream.ReadRecords(file)
}
