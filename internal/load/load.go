// Package load sends the requests of a load profile to entries with an open-loop
// schedule: each request is sent at its arrival time, regardless of how slow the
// answers are. It accepts loopback addresses only and bounds the number of requests
// and the time of a run.
package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"jaylink/internal/workload"
)

// Bounds that apply regardless of the options.
const (
	maxRequests  = 200000
	maxInFlight  = 4096
	answerLimit  = 5 * time.Minute
	maxIdleConns = 512
)

// Options describe one run.
type Options struct {
	Profile *workload.Profile
	// Entries are caller addresses, "ip:port" on loopback.
	Entries []string
	// Seed determines the arrivals; the same seed gives the same requests.
	Seed uint64
	// Scale multiplies the rates of the profile.
	Scale float64
	// Duration shortens the run if it is less than the profile's duration. 0 means the
	// duration of the profile.
	Duration time.Duration
	// Engines are the stand-in engines that the profile's waves reclaim.
	Engines []Engine
}

// Engine is a stand-in engine that a wave can reclaim.
type Engine struct{ Address, AvailabilityZone string }

// Run sends the load and returns what its callers observed.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	profile := *opts.Profile
	if opts.Duration > 0 && opts.Duration < profile.Duration.Std() {
		profile.Duration = durationOf(opts.Duration)
	}
	arrivals := profile.Arrivals(opts.Seed, opts.Scale)
	if len(arrivals) > maxRequests {
		return nil, fmt.Errorf("the profile generates %d requests; at most %d are allowed", len(arrivals), maxRequests)
	}
	r := &runner{
		opts: opts, report: newReport(), slots: make(chan struct{}, maxInFlight),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
	}
	defer r.client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, profile.Duration.Std()+answerLimit)
	defer cancel()
	waves, stop := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { r.runWaves(waves, &profile) })
	err := r.send(ctx, arrivals)
	stop()
	background.Wait()
	return r.report, err
}

func (o *Options) check() error {
	if len(o.Entries) == 0 {
		return fmt.Errorf("no entry is given")
	}
	for _, e := range o.Engines {
		if err := checkLoopback(e.Address); err != nil {
			return err
		}
	}
	for _, address := range o.Entries {
		if err := checkLoopback(address); err != nil {
			return err
		}
	}
	if o.Scale <= 0 {
		return fmt.Errorf("scale %v is out of range; more than 0 is allowed", o.Scale)
	}
	return nil
}

func checkLoopback(address string) error {
	tcp, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return fmt.Errorf("%q is not an address; write ip:port", address)
	}
	if !tcp.IP.IsLoopback() {
		return fmt.Errorf("%q is not a loopback address; load is sent to this machine only", address)
	}
	return nil
}

// runner is the state of one run.
type runner struct {
	opts   Options
	client *http.Client
	slots  chan struct{}
	start  time.Time

	mu     sync.Mutex
	report *Report
}

// send sends each request at its arrival time and waits for all answers. A request
// that finds maxInFlight others in flight is counted as not sent, because its latency
// would only measure the load command itself.
func (r *runner) send(ctx context.Context, arrivals []workload.Arrival) error {
	r.start = time.Now()
	var work sync.WaitGroup
	defer work.Wait()
	for _, a := range arrivals {
		if !sleep(ctx, time.Until(r.start.Add(a.At))) {
			return ctx.Err()
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.record(a.Stream, outcome{notSent: true})
			continue
		}
		work.Go(func() {
			defer func() { <-r.slots }()
			r.record(a.Stream, r.call(ctx, a))
		})
	}
	return nil
}

func (r *runner) record(s *workload.Stream, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(s, o)
}

// sleep waits and reports whether the time passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
