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
	// leaseName is the name of the lease in the store. One lease covers all duties.
	leaseName = "duties"
	// dutyInterval is how often an entry checks whether it holds the lease, and if so
	// performs the duties.
	dutyInterval = 500 * time.Millisecond
	// leaseCandidates is the number of entries that poll the lease. These are the first
	// ones by name.
	leaseCandidates = 4
)

// runDuties polls or renews the lease and, while this entry holds it, performs the duties
// that one entry performs for all: it reports usage and orders upstreams. Without duties it
// holds the lease while runRollouts needs it.
func (g *Gateway) runDuties(ctx context.Context) {
	var next time.Time
	d := newDutyState()
	for sleep(ctx, dutyInterval) {
		if g.duties == nil && !g.awaitsDuties() {
			continue
		}
		now := monotonicTime()
		if !now.Before(next) && !g.stopping.Load() && g.isCandidate() {
			g.stepLease(ctx)
			next = now.Add(g.lease.Interval())
		}
		if token, ok := g.dutyToken(d); ok && g.duties != nil {
			g.reportUsage(ctx, d, token)
			g.orderUpstreams(ctx, d, token)
		}
	}
}

// dutyState is the state that the lease holder keeps between two runs of the duties.
type dutyState struct {
	// refusedToken is the highest fencing token that was refused.
	refusedToken uint64
	// reportedWindows holds the windows whose usage report has been accepted.
	reportedWindows map[int64]bool
	// reports holds the reports that this entry has stored or read, by window.
	reports map[int64]platform.UsageReport
	// token is the fencing token of the last run, and heldSince is when this entry first
	// used it.
	token     uint64
	heldSince time.Duration
	// lastScaling is when the number of upstreams was last evaluated.
	lastScaling time.Time
}

func newDutyState() *dutyState {
	return &dutyState{reportedWindows: map[int64]bool{}, reports: map[int64]platform.UsageReport{}}
}

// rememberReport remembers a report that is or was in the store.
func (d *dutyState) rememberReport(r platform.UsageReport) {
	d.reports[r.Window] = r
	delete(d.reports, r.Window-keptUsageWindows)
}

// dutyToken returns the fencing token if this entry may perform the duties now.
func (g *Gateway) dutyToken(d *dutyState) (uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	grant, ok := g.lease.MayOrder(monotonicTime(), true)
	if !ok || grant.Generation <= d.refusedToken || g.stopping.Load() {
		return 0, false
	}
	if grant.Generation != d.token {
		d.token, d.heldSince = grant.Generation, monotonic()
		for _, s := range g.scalers {
			s.Reset()
		}
		g.metrics.changed[dutiesTaken].Inc(1)
		g.log.Info("holds the duties", "token", grant.Generation)
	}
	return grant.Generation, true
}

// holdsLease reports whether this entry still holds the lease. It is called just before
// each call that only the lease holder may make.
func (g *Gateway) holdsLease() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, holds := g.lease.MayOrder(monotonicTime(), true)
	return holds
}

// isCandidate reports whether this entry polls the lease. The holder always does.
// Otherwise the first leaseCandidates entries by name do, as long as no live peer reports
// that it holds the lease.
func (g *Gateway) isCandidate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, holds := g.lease.MayOrder(monotonicTime(), true); holds {
		return true
	}
	if holder, _ := g.lease.Holder(); holder == g.settings.Name {
		return true
	}
	ahead := 0
	expiry := max(loadExpiry, g.gossipCycleTime(g.listPeersLocked()))
	for name, p := range g.peers {
		if p.holdsLease && !p.leaving && time.Since(p.lastHeard) < loadExpiry {
			return false
		}
		if name < g.settings.Name && !p.leaving && time.Since(p.lastHeard) < expiry {
			ahead++
		}
	}
	return ahead < leaseCandidates
}

// stepLease makes the store call that is the next step of the lease protocol.
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
			g.log.Warn("stored lease can't be decoded", "err", err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lease.Observe(monotonicTime(), stored, storedLease(rec))
}

// storedLease identifies the state of the lease in a record of the store.
func storedLease(rec objects.Record) lease.Stored {
	return lease.Stored{Era: rec.Era, Version: rec.Version}
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
		g.lease.WriteSucceeded(monotonicTime(), storedLease(rec))
		g.mu.Unlock()
	case errors.As(err, &conflict) && conflict.Current.Version > 0:
		g.observeLease(conflict.Current)
	case errors.Is(err, objects.ErrNotFound):
		g.observeLease(rec)
	default:
		// Whether the write took effect is unknown; the next step reads the lease.
		g.setDependencyError("store."+platform.KindLeases, err)
		return
	}
	g.setDependencyError("store."+platform.KindLeases, nil)
}

// handleRefusedToken reports whether a call was refused because a newer holder has used a
// higher fencing token. If so, it records that this entry's token is no longer valid.
func (g *Gateway) handleRefusedToken(d *dutyState, token uint64, duty string, err error) bool {
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	d.refusedToken = token
	g.metrics.changed[dutyRefused].Inc(1)
	g.log.Warn("duty refused: a newer holder has acted", "duty", duty, "token", token)
	return true
}
