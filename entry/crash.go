package entry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"jaylink/decision"
	"jaylink/decision/poison"
	"jaylink/peer/peerpb"
	"jaylink/upstream"
)

const (
	// crashProbeTimeout bounds the look at an upstream whose connection broke.
	crashProbeTimeout = 250 * time.Millisecond
	crashProbePause   = 10 * time.Millisecond
	// crashSpreadTime bounds the wait for a peer that can't be reached.
	crashSpreadTime = 10 * time.Second
)

// crashed reports whether an attempt ended because its upstream crashed. One
// that refuses connections has ended, and one that runs for less time than the
// attempt was started again. No answer at all proves nothing: the upstream's
// availability zone may be cut off.
func (e *Entry) crashed(ctx context.Context, address string, began time.Time, res upstream.Result) bool {
	if res.Outcome != decision.OutcomeBroken && res.Outcome != decision.OutcomeNoAnswer {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		report, err := e.upstreams.Load(ctx, address)
		if err == nil {
			uptime := time.Duration(report.UptimeMS) * time.Millisecond
			return uptime > 0 && uptime < time.Since(began)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		// A process that is just ending still resets connections.
		sleep(ctx, crashProbePause)
	}
	return false
}

// spreadCrash tells every live peer about a crash. It returns at once.
func (e *Entry) spreadCrash(c poison.Crash) {
	e.metrics.crashes.Inc(1)
	e.log.Warn("upstream crashed", "upstream", c.Upstream, "fingerprint", c.Fingerprint)
	report := &peerpb.CrashReport{Crashes: []*peerpb.Crash{{
		Fingerprint: c.Fingerprint, Upstream: c.Upstream, AgeNanos: time.Since(c.At).Nanoseconds(),
	}}}
	for _, m := range e.peers.Live() {
		e.work.Go(func() {
			if err := e.reportCrash(m.GetAddress(), report); err != nil {
				e.log.Debug("crash could not be reported", "peer", m.GetName(), "step", "crash_report", "err", err)
			}
		})
	}
}

func (e *Entry) reportCrash(address string, report *peerpb.CrashReport) error {
	conn, err := e.peers.Conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.background, crashSpreadTime)
	defer cancel()
	_, err = peerpb.NewPoisonClient(conn).Report(ctx, report, grpc.WaitForReady(true))
	return err
}

// crashServer takes the crashes that other entries saw.
type crashServer struct {
	peerpb.UnimplementedPoisonServer
	step func(decision.Event)
}

func registerCrashServer(s *grpc.Server, step func(decision.Event)) {
	peerpb.RegisterPoisonServer(s, &crashServer{step: step})
}

// Report implements peerpb.PoisonServer.
func (s *crashServer) Report(_ context.Context, r *peerpb.CrashReport) (*peerpb.CrashReply, error) {
	now := time.Now()
	for _, c := range r.GetCrashes() {
		s.step(decision.CrashEvent{Crash: poison.Crash{
			Fingerprint: c.GetFingerprint(), Upstream: c.GetUpstream(), At: now.Add(-time.Duration(c.GetAgeNanos())),
		}})
	}
	return &peerpb.CrashReply{}, nil
}
