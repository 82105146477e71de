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
	newest := g.newestDueWindow(now)
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

// newestDueWindow returns the newest window whose report is due, or 0 if usage is not counted.
func (g *Gateway) newestDueWindow(now time.Time) int64 {
	if g.settings.Bounds.UsageWindow <= 0 {
		return 0
	}
	return g.usage.Window(now.Add(-usageDelay)) - 1
}

// applyReported remembers the newest reported window that a peer knows. One that has not ended
// yet is the error of a clock. The caller holds mu.
func (g *Gateway) applyReported(m gossipMessage) {
	if m.ReportedWindow > 0 && m.ReportedWindow <= g.newestDueWindow(g.trueTime())+1 {
		g.reports.Announce(m.ReportedWindow, m.ReportedEra)
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
	report, err := g.storeUsageReport(ctx, d, window)
	if errors.Is(err, errReportLost) {
		g.metrics.changed[usageLost].Inc(1)
		g.log.Warn("usage not reported: the report may have been sent before the store was restored", "window", window, "era", g.objects.Era())
		return true
	}
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
	if err := g.objects.Delete(ctx, platform.KindUsage, usageName(window-keptUsageWindows), 0); err != nil && !errors.Is(err, objects.ErrNotFound) {
		g.log.Info("deleting an old usage report failed", "window", window-keptUsageWindows, "err", err)
	}
	return true
}

func usageName(window int64) string { return strconv.FormatInt(window, 10) }

// errReportLost means that the report of a window may have been sent and that the store has
// lost it.
var errReportLost = errors.New("usage report is lost")

// storeUsageReport returns the window's report as stored, and stores it first if there is
// none. It fails with errReportLost if the report may have been sent as it was stored before
// the store was restored, unless this entry remembers it.
func (g *Gateway) storeUsageReport(ctx context.Context, d *dutyState, window int64) (platform.UsageReport, error) {
	report, known := d.reports[window]
	if !known {
		var err error
		if report, err = g.newUsageReport(ctx, window); err != nil {
			return report, err
		}
	}
	_, err := g.objects.Create(ctx, platform.KindUsage, usageName(window), report)
	var conflict *objects.ConflictError
	if !errors.As(err, &conflict) {
		if err == nil {
			d.rememberReport(report)
		}
		return report, err
	}
	rec := conflict.Current
	if rec.Version == 0 {
		if rec, err = g.objects.Get(ctx, platform.KindUsage, usageName(window)); err != nil {
			return report, err
		}
	}
	var stored platform.UsageReport
	if err = json.Unmarshal(rec.Value, &stored); err == nil {
		d.rememberReport(stored)
	}
	return stored, err
}

// newUsageReport returns the report of a window by the counts of this entry, and announces it
// to the entries that may succeed this one.
func (g *Gateway) newUsageReport(ctx context.Context, window int64) (platform.UsageReport, error) {
	if err := g.checkReportLost(ctx, window); err != nil {
		return platform.UsageReport{}, err
	}
	g.mu.Lock()
	g.reports.Announce(window, g.objects.Era())
	report := platform.UsageReport{Window: window, Counts: g.usage.Report(window)}
	g.mu.Unlock()
	g.sendMessage(g.buildMessage(messageParts{}), g.listPeers().dutyCandidates)
	return report, nil
}

// checkReportLost returns errReportLost if the report of a window may have been sent and the
// store has lost it.
func (g *Gateway) checkReportLost(ctx context.Context, window int64) error {
	g.mu.Lock()
	mayBeSent := g.reports.MayBeSent(window)
	g.mu.Unlock()
	if !mayBeSent {
		return nil
	}
	// The answer also shows whether the store has been restored.
	if _, err := g.objects.Get(ctx, platform.KindUsage, usageName(window)); !errors.Is(err, objects.ErrNotFound) {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reports.MayBeLost(window, g.objects.Era()) {
		return errReportLost
	}
	return nil
}
