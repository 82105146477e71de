package gateway

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/placement"
	"jaylink/decision/rollout"
	"jaylink/objects"
	"jaylink/platform"
)

const (
	// freshDecision is how long after a decision a share of requests above the bound is
	// used. Without the holder of the duties nobody lowers it.
	freshDecision = 3 * time.Second
	// maxDecisionLead is how far in the future the time of a peer's decision may be.
	maxDecisionLead = 5 * time.Second
)

// serviceRollout is what this entry knows of the rollout of a service. After an order was
// deleted, Target is empty.
type serviceRollout struct {
	rolloutNews
	logic *rollout.Rollout
	// known holds the versions besides the target that the service may use; nil allows
	// all.
	known map[string]bool
	// rejected is set while this entry's own evidence rejects the target.
	rejected bool
	// processes holds the process of each entry that was heard last.
	processes map[string]string
	// counts is what this entry has counted.
	counts map[rollout.Key]rollout.Counts
	// seen is the position of the object when it was last read, and written the state
	// that the store has.
	seen    objects.Position
	written rollout.State
	// finals holds the final states of this and of earlier orders, by target.
	finals map[string]rollout.State
	// writeFailures is the number of consecutive writes of the status that failed, and
	// nextWrite the time of the next one.
	writeFailures int
	nextWrite     time.Time
}

// isRunning reports whether requests are counted and decisions due.
func (s *serviceRollout) isRunning() bool { return s.Target != "" && !s.State.Final() }

// setFinal records the final state.
func (s *serviceRollout) setFinal(now time.Time, state rollout.State) {
	s.State, s.Exposure, s.Decided = state, 0, now
	if state == rollout.Completed {
		s.Exposure = 1
	}
	s.finals[s.Target] = state
	s.logic.Resume(now, state, s.Exposure)
}

// rollouts holds the rollouts that an entry knows, by service.
type rollouts map[string]*serviceRollout

// running returns the number of rollouts that run.
func (r rollouts) running() int {
	n := 0
	for _, s := range r {
		if s.isRunning() {
			n++
		}
	}
	return n
}

// news returns what other entries are told; nil if there is nothing.
func (r rollouts) news() []rolloutNews {
	var news []rolloutNews
	for _, service := range sortedKeys(r) {
		news = append(news, r[service].rolloutNews)
	}
	return news
}

// ownCounts returns what this entry has counted for the rollouts that run; nil if none does.
func (r rollouts) ownCounts() rolloutCounts {
	var counts rolloutCounts
	for service, s := range r {
		if s.isRunning() {
			if counts == nil {
				counts = rolloutCounts{}
			}
			counts[service] = maps.Clone(s.counts)
		}
	}
	return counts
}

// hasRollouts reports whether this entry knows of any order.
func (g *Gateway) hasRollouts() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.rollouts) > 0
}

// awaitsDuties reports whether a rollout runs, or has ended and the store may not have its
// final state.
func (g *Gateway) awaitsDuties() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.rollouts {
		if s.Target != "" && (s.isRunning() || s.Final.Revision == 0 || s.Final.Era < g.storeEra()) {
			return true
		}
	}
	return false
}

// rolloutRuns reports whether a rollout runs.
func (g *Gateway) rolloutRuns() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rollouts.running() > 0
}

// versionsOf returns what placement has to know of a rollout, nil if its order was deleted.
// The caller holds mu.
func (g *Gateway) versionsOf(s *serviceRollout) *placement.Versions {
	if s.Target == "" {
		return nil
	}
	v := &placement.Versions{Target: s.Target, Known: s.known, Completed: s.State == rollout.Completed}
	if s.isRunning() && !s.rejected {
		v.Exposure = s.Exposure
		if share := g.settings.Bounds.ExposeShare; v.Exposure > share && g.trueTime().Sub(s.Decided) > freshDecision {
			v.Exposure = share
		}
	}
	return v
}

// versionHash returns the hash of a request's ID that chooses between versions. It differs
// from the one that chooses the target of a traffic split. A request without an ID can't be
// recognized when its caller repeats it.
func versionHash(r *request) uint64 {
	if r.RequestID == "" {
		return xxhash.Sum64String("version " + r.arrived.String())
	}
	return xxhash.Sum64String("version " + r.RequestID)
}

// adoptRollout makes an order the one of its service. The caller holds mu.
func (g *Gateway) adoptRollout(n rolloutNews, source string) *serviceRollout {
	now := g.trueTime()
	if n.Started.IsZero() || n.Started.After(now) {
		n.Started = now
	}
	s := &serviceRollout{
		rolloutNews: n, counts: map[rollout.Key]rollout.Counts{}, processes: map[string]string{},
		finals: map[string]rollout.State{}, known: g.knownVersions(n),
	}
	if before := g.rollouts[n.Service]; before != nil {
		s.finals = before.finals
		if s.known != nil {
			maps.Copy(s.known, before.known)
			if before.State == rollout.Completed {
				s.known[before.Target] = true
			}
			delete(s.known, n.Target)
		}
	}
	bounds := g.settings.Bounds
	s.logic = rollout.New(rollout.Order{
		Service: n.Service, Target: n.Target, Duration: n.Duration, Bounds: rollout.Bounds{Share: bounds.ExposeShare, Slack: bounds.ExposeSlack},
	}, n.Started)
	s.logic.Resume(now, n.State, n.Exposure)
	if n.State.Final() {
		s.finals[n.Target] = n.State
	}
	g.rollouts[n.Service] = s
	g.logRollout(s, source, "")
	return s
}

// knownVersions returns the versions of a service that are listed now, without the target
// of a rollout, or nil if none is listed. The caller holds mu.
func (g *Gateway) knownVersions(n rolloutNews) map[string]bool {
	u := g.upstreams.Load()
	if u == nil {
		return nil
	}
	var known map[string]bool
	for _, up := range u.upstreams {
		if up.Service != n.Service {
			continue
		}
		if known == nil {
			known = map[string]bool{}
		}
		if up.Version != n.Target {
			known[up.Version] = true
		}
	}
	return known
}

// logRollout logs and counts a change of a rollout.
func (g *Gateway) logRollout(s *serviceRollout, source, reason string) {
	g.metrics.changed[rolloutChanged].Inc(1)
	g.log.Info("rollout", "service", s.Service, "object", s.Name, "target", s.Target, "state", string(s.State),
		"exposure", s.Exposure, "reason", reason, "source", source, "era", s.Ordered.Era, "revision", s.Ordered.Revision)
}

// applyRolloutMessage takes over what a peer knows of rollouts and what it has counted.
func (g *Gateway) applyRolloutMessage(m gossipMessage) {
	if len(m.Rollouts) == 0 && len(m.RolloutCounts) == 0 {
		return
	}
	g.mu.Lock()
	isNew := false
	if p := g.peers[m.Entry]; p == nil || p.incarnation == m.Incarnation {
		for _, n := range m.Rollouts {
			isNew = g.mergeRollout(n, m.Entry) || isNew
		}
		for service, counts := range m.RolloutCounts {
			if s := g.rollouts[service]; s != nil && s.isRunning() {
				s.observePeer(g.trueTime(), m, counts)
			}
		}
	}
	g.mu.Unlock()
	if isNew {
		g.triggerNews()
	}
}

// observePeer takes over what a peer has counted.
func (s *serviceRollout) observePeer(now time.Time, m gossipMessage, counts map[rollout.Key]rollout.Counts) {
	process := processName(m)
	if before := s.processes[m.Entry]; before != process {
		s.logic.Gone(before)
		s.processes[m.Entry] = process
	}
	s.logic.Observe(now, process, counts)
	if m.Leaving {
		s.logic.Gone(process)
	}
}

// mergeRollout takes over what a peer knows of a rollout and reports whether it was new. The
// caller holds mu.
func (g *Gateway) mergeRollout(n rolloutNews, source string) bool {
	s := g.rollouts[n.Service]
	switch {
	case s == nil:
		isOrder := n.Target != "" && len(g.rollouts) < maxMessageRollouts
		if isOrder {
			g.adoptRollout(n, source)
		}
		return isOrder
	case s.Target != n.Target || s.isFollowedBy(n):
		if s.Ordered.Before(n.Ordered) {
			g.adoptRollout(n, source)
			return true
		}
		return false
	case n.State.Final() && n.Final.Revision > 0 && n.Final.Before(s.Ordered):
		return false
	}
	return g.mergeDecision(s, n, source)
}

// isFollowedBy reports whether news is about a later order of the same target.
func (s *serviceRollout) isFollowedBy(n rolloutNews) bool {
	return s.Target == n.Target && s.State.Final() && s.Final.Revision > 0 && s.Final.Era == n.Ordered.Era && s.Final.Before(n.Ordered)
}

// mergeDecision takes over a decision about the same order. The first final state holds.
func (g *Gateway) mergeDecision(s *serviceRollout, n rolloutNews, source string) bool {
	now := g.trueTime()
	if s.Final.Before(n.Final) {
		s.Final = n.Final
	}
	switch {
	case s.State.Final():
		if n.State.Final() && n.State != s.State && n.Decided.Before(s.Decided) {
			s.State, s.Decided, s.Exposure = n.State, n.Decided, n.Exposure
			s.finals[s.Target] = n.State
			g.logRollout(s, source, "")
			return true
		}
		return false
	case n.State.Final():
		s.setFinal(now, n.State)
		s.Decided = n.Decided
		g.logRollout(s, source, "")
		return true
	case !(n.Exposure >= 0 && n.Exposure <= 1) || !n.Decided.After(s.Decided) || n.Decided.After(now.Add(maxDecisionLead)):
		return false
	}
	changed := n.Exposure != s.Exposure
	s.Decided, s.Exposure = n.Decided, n.Exposure
	s.logic.Resume(now, n.State, n.Exposure)
	return changed || s.Exposure > g.settings.Bounds.ExposeShare
}

// rolloutState returns the state in the status of a rollout, "" if the status is about
// another target.
func rolloutState(spec platform.RolloutSpec, status platform.RolloutStatus) rollout.State {
	if status.Target != spec.Target {
		return ""
	}
	return rollout.State(status.State)
}
