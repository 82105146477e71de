package gateway

import (
	"context"
	"errors"
	"math"
	"time"

	"jaylink/decision/rollout"
	"jaylink/objects"
	"jaylink/platform"
)

const (
	// decisionRefresh is how often an unchanged decision is announced again.
	decisionRefresh = time.Second
	// missingStatusRetry is the pause after a status could not be written because the
	// object does not exist.
	missingStatusRetry = 5 * time.Second
)

// runRollouts decides on rollouts until ctx ends. It does not wait for the calls of the other
// duties, which may take longer than a rollback may.
func (g *Gateway) runRollouts(ctx context.Context) {
	for sleep(ctx, dutyInterval) {
		if g.hasRollouts() {
			g.stepRollouts(ctx, g.holdsLease() && !g.stopping.Load())
		}
	}
}

// stepRollouts decides on the rollouts if this entry holds the lease, and writes their
// status. The last holder goes on while the store is away, but can only lower the exposure
// or roll back. Other entries weigh what they hear, to be ready to take over.
func (g *Gateway) stepRollouts(ctx context.Context, holds bool) {
	isNew, due := g.decideRollouts(holds)
	if isNew {
		g.triggerNews()
	}
	for _, service := range due {
		g.writeRolloutStatus(ctx, service)
	}
}

// decideRollouts makes a step of each rollout. It reports whether the others have to hear of
// it, and returns the services whose status is to be written.
func (g *Gateway) decideRollouts(holds bool) (isNew bool, due []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decides := holds || g.wasLastHolder()
	for _, service := range sortedKeys(g.rollouts) {
		s := g.rollouts[service]
		if s.isRunning() {
			s.logic.Observe(g.trueTime(), g.settings.Name, s.counts)
			isNew = g.stepRollout(s, decides, holds) || isNew
		}
		if s.State.Final() && s.Final.Era < g.storeEra() {
			// The store was restored since, and may lack the status.
			s.written = ""
		}
		if holds && s.Target != "" && s.written != s.State && !time.Now().Before(s.nextWrite) {
			due = append(due, service)
		}
	}
	return isNew, due
}

// wasLastHolder reports whether this entry was the last one to hold the lease as far as it
// knows. The caller holds mu.
func (g *Gateway) wasLastHolder() bool {
	if holder, _ := g.lease.Holder(); holder != g.settings.Name {
		return false
	}
	for _, p := range g.peers {
		if p.holdsLease && time.Since(p.lastHeard) < loadExpiry {
			return false
		}
	}
	return true
}

// stepRollout makes a step and reports whether the others have to hear of it. The caller
// holds mu.
func (g *Gateway) stepRollout(s *serviceRollout, decides, holds bool) bool {
	now := g.trueTime()
	if !decides {
		rejected := s.logic.Rejects(now)
		if rejected != s.rejected {
			g.log.Info("rollout suspended here", "service", s.Service, "target", s.Target, "suspended", rejected)
		}
		s.rejected = rejected
		return false
	}
	s.rejected = false
	s.logic.SetStore(holds && g.rolloutStoreReachable())
	d := s.logic.Step(now)
	exposure := math.Round(d.Exposure/exposureUnit) * exposureUnit
	switch {
	case d.State.Final():
		s.setFinal(now, d.State)
		g.logRollout(s, g.settings.Name, d.Reason+" "+d.Route)
		return true
	case exposure != s.Exposure:
		s.Exposure, s.Decided = exposure, now
		g.log.Info("rollout step", "service", s.Service, "target", s.Target, "exposure", exposure, "reason", d.Reason)
		return true
	case now.Sub(s.Decided) >= decisionRefresh:
		s.Decided = now
		return true
	}
	return false
}

// rolloutStoreReachable reports whether no call that concerns rollouts has failed last. The
// caller holds mu.
func (g *Gateway) rolloutStoreReachable() bool {
	for _, name := range []string{platform.KindRollouts, platform.KindLeases, rolloutStatus} {
		if _, lost := g.lostDependencies["store."+name]; lost {
			return false
		}
	}
	return g.storeReachable()
}

// rolloutStatus names the write of a status as a dependency.
const rolloutStatus = platform.KindRollouts + ".status"

// writeRolloutStatus writes the state of a rollout to the store. After a conflict it writes
// once more if the object still holds the same order.
func (g *Gateway) writeRolloutStatus(ctx context.Context, service string) {
	for range 2 {
		if !g.holdsLease() {
			return
		}
		g.mu.Lock()
		s := g.rollouts[service]
		status := platform.RolloutStatus{State: string(s.State), Target: s.Target}
		name, version := s.Name, s.revision()
		g.mu.Unlock()
		rec, err := g.objects.WriteStatus(ctx, platform.KindRollouts, name, version, status)
		var conflict *objects.ConflictError
		if !errors.As(err, &conflict) || conflict.Current.Version == 0 {
			g.recordStatusWrite(s, rollout.State(status.State), rec, err)
			return
		}
		g.mu.Lock()
		conflict.Current.Name = name
		_, decodeErr := g.applyRollout(conflict.Current)
		current := g.rollouts[service]
		again := decodeErr == nil && current == s && s.written != s.State
		g.mu.Unlock()
		if !again {
			return
		}
	}
}

// revision returns the last known revision of the object.
func (s *serviceRollout) revision() uint64 {
	if s.seen.Revision > 0 {
		return s.seen.Revision
	}
	return max(s.Ordered.Revision, s.Final.Revision)
}

// recordStatusWrite records the outcome of a write of a status.
func (g *Gateway) recordStatusWrite(s *serviceRollout, state rollout.State, rec objects.Record, err error) {
	if errors.Is(err, objects.ErrNotFound) {
		g.log.Info("rollout has no object", "service", s.Service, "object", s.Name)
		g.mu.Lock()
		s.nextWrite = time.Now().Add(missingStatusRetry)
		g.mu.Unlock()
		return
	}
	g.setDependencyError("store."+rolloutStatus, err)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.metrics.statusErrors.Inc(1)
		s.nextWrite = time.Now().Add(storeRetryDelay(s.writeFailures))
		s.writeFailures++
		return
	}
	s.writeFailures = 0
	g.metrics.statusesWritten.Inc(1)
	s.written = state
	at := objects.Position{Era: max(rec.Era, objects.FirstEra), Revision: rec.Version}
	if s.seen.Before(at) {
		s.seen = at
	}
	if state.Final() {
		s.Final = at
	}
	g.log.Info("rollout status written", "service", s.Service, "object", s.Name, "target", s.Target, "state", string(state), "era", at.Era, "revision", at.Revision)
}
