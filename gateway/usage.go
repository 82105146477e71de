package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"jaylink/objects"
	"jaylink/platform"
)

const (
	// gatherTime is how long after a window's end its counts are gathered.
	gatherTime = 2500 * time.Millisecond
	// listenWords is how many words of each entry's usage a new holder waits for
	// before its first report.
	listenWords = 3
	// usageKept is how many windows stay in the store.
	usageKept = 12
)

// reportUsage sends the reports that are due. A report is first fixed in the
// store, so that a successor sends the same one.
func (g *Gateway) reportUsage(ctx context.Context, d *dutyState, token uint64) {
	if !g.settings.ReportsUsage || monotonic()-d.since < g.listenTime() {
		return
	}
	g.mu.Lock()
	now := g.trueTime()
	newest := g.usage.Window(now.Add(-gatherTime)) - 1
	oldest := g.usage.Window(now.Add(-g.settings.Bounds.UsageLate))
	g.mu.Unlock()
	for w := oldest; w <= newest; w++ {
		if d.reported[w] {
			continue
		}
		if !g.reportWindow(ctx, d, token, w) {
			return
		}
		d.reported[w] = true
		delete(d.reported, w-usageKept)
	}
}

// listenTime is how long a new holder hears from the others before it reports.
func (g *Gateway) listenTime() time.Duration {
	if g.Peers() <= smallFleet {
		return listenWords * farEvery * tellInterval
	}
	return listenWords * usageInterval
}

func (g *Gateway) reportWindow(ctx context.Context, d *dutyState, token uint64, window int64) bool {
	report, err := g.fixUsage(ctx, window)
	if err != nil {
		g.log.Warn("usage not fixed yet", "window", window, "err", err)
		return false
	}
	if !g.stillHolds() {
		return false
	}
	err = g.duties.ReportUsage(ctx, token, report)
	if err != nil {
		if !g.fence(d, token, "usage", err) {
			g.log.Warn("usage not reported yet", "window", window, "err", err)
		}
		return false
	}
	g.log.Info("usage reported", "window", window, "counts", report.Counts, "token", token)
	// What stays is removed with a later window.
	if err := g.objects.Delete(ctx, platform.KindUsage, usageName(window-usageKept)); err != nil && !errors.Is(err, objects.ErrNotFound) {
		g.log.Info("old usage not removed", "window", window-usageKept, "err", err)
	}
	return true
}

func usageName(window int64) string { return strconv.FormatInt(window, 10) }

// fixUsage returns the window's report as the store has it, and stores it first
// if there is none.
func (g *Gateway) fixUsage(ctx context.Context, window int64) (platform.UsageReport, error) {
	g.mu.Lock()
	report := platform.UsageReport{Window: window, Counts: g.usage.Report(window)}
	g.mu.Unlock()
	_, err := g.objects.Create(ctx, platform.KindUsage, usageName(window), report)
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		return report, err
	}
	rec := conflict.Current
	if rec.Version == 0 {
		if rec, err = g.objects.Get(ctx, platform.KindUsage, usageName(window)); err != nil {
			return report, err
		}
	}
	var fixed platform.UsageReport
	err = json.Unmarshal(rec.Value, &fixed)
	return fixed, err
}
