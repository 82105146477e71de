package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"

	"jaylink/decision/lease"
	"jaylink/objects"
	"jaylink/platform"
)

const (
	// leaseName names the one lease for all duties.
	leaseName = "duties"
	// dutyInterval is how often the duties are looked at.
	dutyInterval = 500 * time.Millisecond
	// candidates is how many entries, first in the order of names, follow the
	// lease.
	candidates = 4
)

// runDuties keeps the lease and, while this entry holds it, does the duties.
func (g *Gateway) runDuties(ctx context.Context) {
	if g.duties == nil {
		return
	}
	var next time.Time
	d := newDutyState()
	for sleep(ctx, dutyInterval) {
		now := monotonicTime()
		if !now.Before(next) && !g.stopping.Load() && g.isCandidate() {
			g.stepLease(ctx)
			next = now.Add(g.lease.Interval())
		}
		if token, ok := g.dutyToken(d); ok {
			g.reportUsage(ctx, d, token)
			g.orderUpstreams(ctx, d, token)
		}
	}
}

// dutyState is what the holder remembers between two looks at its duties.
type dutyState struct {
	// fenced is the highest token that was refused.
	fenced uint64
	// reported holds the windows whose usage has been accepted.
	reported map[int64]bool
	// token is that of the last look, since when it came.
	token uint64
	since time.Duration
	// scaled is when the number of upstreams was looked at last.
	scaled time.Time
}

func newDutyState() *dutyState { return &dutyState{reported: map[int64]bool{}} }

// dutyToken returns the fencing token if this entry may do the duties now.
func (g *Gateway) dutyToken(d *dutyState) (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	grant, ok := g.lease.MayOrder(monotonicTime(), true)
	if !ok || grant.Generation <= d.fenced || g.stopping.Load() {
		return 0, false
	}
	if grant.Generation != d.token {
		d.token, d.since = grant.Generation, monotonic()
		for _, s := range g.scalers {
			s.Reset()
		}
		g.metrics.changed[dutiesTaken].Inc(1)
		g.log.Info("holds the duties", "token", grant.Generation)
	}
	return grant.Generation, true
}

// stillHolds is asked just before each call that is a duty.
func (g *Gateway) stillHolds() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, holds := g.lease.MayOrder(monotonicTime(), true)
	return holds
}

// isCandidate reports whether this entry looks at the lease: always as its
// holder, and otherwise while no live entry says that it holds it.
func (g *Gateway) isCandidate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if holder, _ := g.lease.Holder(); holder == g.settings.Name {
		return true
	}
	before := 0
	life := max(loadLife, g.wordTime(g.sortedPeers()))
	for name, p := range g.peers {
		if p.holder && !p.leaving && time.Since(p.heard) < loadLife {
			return false
		}
		if name < g.settings.Name && !p.leaving && time.Since(p.heard) < life {
			before++
		}
	}
	return before < candidates
}

// stepLease makes the one call to the store that the lease asks for.
func (g *Gateway) stepLease(ctx context.Context) {
	g.mu.Lock()
	step := g.lease.Next(monotonicTime())
	g.mu.Unlock()
	if step == lease.StepRead {
		g.readLease(ctx)
		return
	}
	g.writeLease(ctx)
}

func (g *Gateway) readLease(ctx context.Context) {
	rec, err := g.objects.Get(ctx, platform.KindLeases, leaseName)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		g.setDependencyError("store."+platform.KindLeases, err)
		return
	}
	g.setDependencyError("store."+platform.KindLeases, nil)
	g.observeLease(rec)
}

func (g *Gateway) observeLease(rec objects.Record) {
	var stored lease.Record
	if rec.Version > 0 {
		if err := json.Unmarshal(rec.Value, &stored); err != nil {
			g.log.Warn("lease can't be read", "err", err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease.Observe(monotonicTime(), stored, rec.Version)
}

func (g *Gateway) writeLease(ctx context.Context) {
	g.mu.Lock()
	next, version := g.lease.Write(monotonicTime(), ulid.Make().String())
	g.mu.Unlock()
	var rec objects.Record
	var err error
	if version == 0 {
		rec, err = g.objects.Create(ctx, platform.KindLeases, leaseName, next)
	} else {
		rec, err = g.objects.Replace(ctx, platform.KindLeases, leaseName, version, next)
	}
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		g.mu.Lock()
		g.lease.Written(monotonicTime(), rec.Version)
		g.mu.Unlock()
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		g.observeLease(conflict.Current)
	default:
		// The next step reads what became of the write.
		g.setDependencyError("store."+platform.KindLeases, err)
		return
	}
	g.setDependencyError("store."+platform.KindLeases, nil)
}

// fence notes that a call was refused for its token. It reports whether err says
// so.
func (g *Gateway) fence(d *dutyState, token uint64, duty string, err error) bool {
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	d.fenced = token
	g.metrics.changed[dutyRefused].Inc(1)
	g.log.Warn("duty refused: a newer holder has acted", "duty", duty, "token", token)
	return true
}
