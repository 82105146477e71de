package gateway

import (
	"cmp"
	"context"
	"errors"

	"jaylink/decision/rollout"
	"jaylink/objects"
	"jaylink/platform"
)

// watchRollouts lists and watches the rollouts until ctx ends, if this entry watches the
// store and the deployment may have rollouts. The other entries hear of them in messages.
func (g *Gateway) watchRollouts(ctx context.Context) {
	var at objects.Position
	failures := 0
	for ctx.Err() == nil {
		if !g.usesRollouts() || !g.watches() {
			at = objects.Position{}
			sleep(ctx, watchCheckInterval)
			continue
		}
		c, err := g.readRollouts(ctx, at)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, objects.ErrCompacted):
			at = objects.Position{}
			continue
		case err != nil:
			g.setDependencyError("store."+platform.KindRollouts, err)
			sleep(ctx, storeRetryDelay(failures))
			failures++
			continue
		}
		failures = 0
		g.setDependencyError("store."+platform.KindRollouts, nil)
		g.withRecover("store."+platform.KindRollouts, func() { g.applyRollouts(c) })
		at = c.Position()
	}
}

// usesRollouts reports whether the deployment may have rollouts: the settings state their
// bounds, or a peer knows of one.
func (g *Gateway) usesRollouts() bool {
	return g.settings.Rollouts || g.hasRollouts()
}

// readRollouts lists the rollouts, or waits for changes after a position.
func (g *Gateway) readRollouts(ctx context.Context, at objects.Position) (objectChanges, error) {
	if (at == objects.Position{}) {
		list, err := g.objects.List(ctx, platform.KindRollouts)
		return objectChanges{RecordList: list, complete: true}, err
	}
	list, err := g.objects.Watch(ctx, platform.KindRollouts, at, g.watchTimeout())
	return objectChanges{RecordList: list}, err
}

// applyRollouts takes over what the store has.
func (g *Gateway) applyRollouts(c objectChanges) {
	isNew := false
	listed := map[string]bool{}
	for _, rec := range c.Items {
		listed[rec.Name] = true
		g.mu.Lock()
		changed, err := g.applyRollout(rec)
		g.mu.Unlock()
		isNew = isNew || changed
		if err != nil {
			g.skipObject(platform.KindRollouts, err)
		}
	}
	g.mu.Lock()
	for _, s := range g.rollouts {
		// A restored store may lack an order that was given.
		if c.complete && !listed[s.Name] && s.Target != "" && s.Ordered.Era == c.Position().Era && s.seen.Before(c.Position()) {
			g.deleteRollout(s, c.Position())
			isNew = true
		}
	}
	g.mu.Unlock()
	if isNew {
		g.triggerNews()
	}
}

// applyRollout takes over one object and reports whether it has changed anything. The caller
// holds mu.
func (g *Gateway) applyRollout(rec objects.Record) (bool, error) {
	at := objects.Position{Era: max(rec.Era, objects.FirstEra), Revision: rec.Version}
	if rec.Deleted {
		for _, s := range g.rollouts {
			if s.Name == rec.Name && s.Target != "" && s.seen.Before(at) {
				g.deleteRollout(s, at)
				return true, nil
			}
		}
		return false, nil
	}
	spec, err := platform.DecodeRollout(rec.Name, rec.Value)
	if err != nil {
		return false, err
	}
	// An odd status is written again.
	status, err := platform.DecodeRolloutStatus(rec.Name, rec.Status)
	return g.applyOrder(rec.Name, at, spec, rolloutState(spec, status)), err
}

// applyOrder takes over an order and the state that the store has of it. The caller holds
// mu.
func (g *Gateway) applyOrder(name string, at objects.Position, spec platform.RolloutSpec, state rollout.State) bool {
	s := g.rollouts[spec.Service]
	if s != nil && !s.seen.Before(at) {
		return false
	}
	n := rolloutNews{
		Name: name, Service: spec.Service, Target: spec.Target, Duration: spec.Duration, Started: g.trueTime(),
		State: cmp.Or(state, rollout.Running), Ordered: at,
	}
	adopted := s == nil || s.Target != spec.Target || !state.Final() && s.isFollowedBy(n)
	if adopted {
		if s != nil && s.Ordered.Era < at.Era {
			// The restored copy holds an earlier order, whose state is known.
			n.State = cmp.Or(s.finals[n.Target], n.State)
		}
		s = g.adoptRollout(n, "store")
	}
	s.seen, s.Name, s.written = at, name, state
	switch {
	case !state.Final():
		return adopted
	case !s.State.Final():
		s.setFinal(g.trueTime(), state)
		g.logRollout(s, "store", "")
		adopted = true
	}
	if s.State == state {
		s.Final = at
	}
	return adopted
}

// deleteRollout records that the operator has deleted an order. The caller holds mu.
func (g *Gateway) deleteRollout(s *serviceRollout, at objects.Position) {
	g.adoptRollout(rolloutNews{Name: s.Name, Service: s.Service, State: rollout.Running, Ordered: at}, "store").seen = at
}
