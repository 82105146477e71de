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
	// crashProbeTimeout bounds the probing of an upstream whose connection
	// broke.
	crashProbeTimeout  = 250 * time.Millisecond
	crashProbeInterval = 10 * time.Millisecond
	// crashReportTimeout bounds the delivery of a crash report, including
	// the wait for a peer that can't be reached.
	crashReportTimeout = 10 * time.Second
)

// upstreamCrashed reports whether an attempt ended because its upstream
// crashed. An upstream that refuses connections has exited, and one whose
// uptime is shorter than the attempt was restarted. No response at all proves
// nothing: the upstream's availability zone may be cut off.
func (e *Entry) upstreamCrashed(ctx context.Context, address string, began time.Time, res upstream.Result) bool {
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
		// A process that is exiting may still reset connections, so
		// probe again.
		sleep(ctx, crashProbeInterval)
	}
	return false
}

// broadcastCrash reports a crash to every live peer in the background.
func (e *Entry) broadcastCrash(c poison.Crash) {
	e.metrics.crashes.Inc(1)
	e.log.Warn("upstream crashed", "upstream", c.Upstream, "fingerprint", c.Fingerprint)
	report := &peerpb.CrashReport{Crashes: []*peerpb.Crash{{
		Fingerprint: c.Fingerprint, Upstream: c.Upstream, AgeNanos: time.Since(c.At).Nanoseconds(),
	}}}
	for _, m := range e.peers.Live() {
		e.work.Go(func() {
			if err := e.sendCrashReport(m.GetAddress(), report); err != nil {
				e.log.Debug("crash could not be reported", "peer", m.GetName(), "step", "crash_report", "err", err)
			}
		})
	}
}

func (e *Entry) sendCrashReport(address string, report *peerpb.CrashReport) error {
	conn, err := e.peers.Conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.background, crashReportTimeout)
	defer cancel()
	_, err = peerpb.NewPoisonClient(conn).Report(ctx, report, grpc.WaitForReady(true))
	return err
}

// crashServer receives the crashes reported by other entries.
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
