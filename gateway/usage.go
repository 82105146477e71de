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
	// usageDelay is the time between the end of a window and its report, in which the
	// counts of all entries arrive.
	usageDelay = 2500 * time.Millisecond
	// listenMessages is the number of messages with usage that a new holder waits to
	// receive from each entry before its first report.
	listenMessages = 3
	// keptUsageWindows is the number of windows whose reports are kept in the store.
	keptUsageWindows = 12
)

// reportUsage sends the reports that are due. Each report is stored before it is sent, so
// that a successor sends the same one.
func (g *Gateway) reportUsage(ctx context.Context, d *dutyState, token uint64) {
	if !g.settings.ReportsUsage || monotonic()-d.heldSince < g.usageListenTime() {
		return
	}
	g.mu.Lock()
	now := g.trueTime()
	newest := g.usage.Window(now.Add(-usageDelay)) - 1
	oldest := g.usage.Window(now.Add(-g.settings.Bounds.UsageLate))
	g.mu.Unlock()
	for w := oldest; w <= newest; w++ {
		if d.reportedWindows[w] {
			continue
		}
		if !g.reportWindow(ctx, d, token, w) {
			return
		}
		d.reportedWindows[w] = true
		delete(d.reportedWindows, w-keptUsageWindows)
	}
}

// usageListenTime returns how long a new holder collects the usage of other entries
// before its first report.
func (g *Gateway) usageListenTime() time.Duration {
	if g.Peers() <= smallFleet {
		return listenMessages * farRoundInterval * minGossipInterval
	}
	return listenMessages * usageInterval
}

func (g *Gateway) reportWindow(ctx context.Context, d *dutyState, token uint64, window int64) bool {
	report, err := g.storeUsageReport(ctx, window)
	if err != nil {
		g.log.Warn("usage not fixed yet", "window", window, "err", err)
		return false
	}
	if !g.holdsLease() {
		return false
	}
	err = g.duties.ReportUsage(ctx, token, report)
	if err != nil {
		if !g.handleRefusedToken(d, token, "usage", err) {
			g.log.Warn("usage not reported yet", "window", window, "err", err)
		}
		return false
	}
	g.log.Info("usage reported", "window", window, "counts", report.Counts, "token", token)
	// A failed deletion is only logged.
	if err := g.objects.Delete(ctx, platform.KindUsage, usageName(window-keptUsageWindows)); err != nil && !errors.Is(err, objects.ErrNotFound) {
		g.log.Info("deleting an old usage report failed", "window", window-keptUsageWindows, "err", err)
	}
	return true
}

func usageName(window int64) string { return strconv.FormatInt(window, 10) }

// storeUsageReport returns the window's report as stored, and stores it first if there is
// none.
func (g *Gateway) storeUsageReport(ctx context.Context, window int64) (platform.UsageReport, error) {
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
	var stored platform.UsageReport
	err = json.Unmarshal(rec.Value, &stored)
	return stored, err
}
