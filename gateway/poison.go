package gateway

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/placement"
	"jaylink/decision/poison"
	"jaylink/decision/reason"
)

// fingerprint returns a hash of what stays the same when a caller repeats a request: its
// target, its customer and its body. It is never 0.
func (r *request) fingerprint() uint64 {
	if r.cachedFingerprint == 0 {
		d := xxhash.New()
		// Writing to a hash can't fail.
		_, _ = d.WriteString(r.target)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(customerName(r))
		_, _ = d.Write([]byte{0})
		_, _ = d.Write(r.body)
		r.cachedFingerprint = max(d.Sum64(), 1)
	}
	return r.cachedFingerprint
}

// recordCrashes records one upstream crash for each request that was involved in it. If
// any of it is new, it is sent on to other entries.
func (g *Gateway) recordCrashes(source string, crashes []poison.Crash) {
	added := 0
	for _, c := range crashes {
		if g.recordCrash(source, c) {
			added++
		}
	}
	if added > 0 {
		g.log.Warn("upstream crashed", "upstream", crashes[0].Upstream, "requests", added, "source", source)
		g.triggerCrashNews()
	}
}

// recordCrash records a crash for one request and reports whether it was new. A request
// that was involved in more than one crash is logged.
func (g *Gateway) recordCrash(source string, c poison.Crash) bool {
	g.mu.Lock()
	isNew := g.poison.Add(g.trueTime(), c)
	count, poisoned := g.poison.Crashes(c.Fingerprint), g.poison.Poisoned(g.trueTime(), c.Fingerprint)
	g.mu.Unlock()
	if isNew && (poisoned || count > 1) {
		g.log.Warn("request was involved in crashes", "upstream", c.Upstream, "fingerprint", c.Fingerprint, "crashes", count, "poison", poisoned, "source", source)
	}
	return isNew
}

// triggerNews triggers an early message about the known crashes and limits to some peers.
func (g *Gateway) triggerNews() { signal(g.sendNews) }

// triggerCrashNews is triggerNews for crashes and what clears of them, which are also stored.
func (g *Gateway) triggerCrashNews() {
	g.triggerNews()
	signal(g.crashNews)
}

// hasNews reports whether there are crashes, verdicts, limits or rollouts to send.
func (g *Gateway) hasNews() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.hasNewsLocked()
}

// hasNewsLocked is hasNews for callers that hold mu.
func (g *Gateway) hasNewsLocked() bool {
	return g.poison.HasUpdates(g.trueTime()) || g.limits.Count() > 0 || g.limits.HasNews(g.trueTime()) || len(g.rollouts) > 0
}

// applyCrashReports records the crashes and verdicts of a message, and sends on what is
// new.
func (g *Gateway) applyCrashReports(m gossipMessage) {
	for _, c := range m.Crashes {
		g.recordCrashes(m.Entry, c.Split())
	}
	for _, v := range m.Verdicts {
		g.mu.Lock()
		isNew := g.poison.ApplyVerdict(g.trueTime(), v)
		if isNew && v.Kind == poison.PartVerdict && !v.Cleared {
			g.cancelDeadlyAttempts()
		}
		g.mu.Unlock()
		if isNew {
			g.logVerdict(v, m.Entry)
			g.triggerCrashNews()
		}
	}
}

// logVerdict logs a new verdict and the entry that it is from.
func (g *Gateway) logVerdict(v poison.Verdict, source string) {
	if v.Kind == poison.RequestVerdict {
		g.log.Warn("verdict on a request", "fingerprint", v.Fingerprint, "poison", !v.Cleared, "source", source)
		return
	}
	if v.Cleared {
		g.log.Info("suspected part was answered", "part", partText(v.Fingerprint), "sent_at", v.At, "source", source)
		return
	}
	g.log.Warn("verdict on a part", "part", partText(v.Fingerprint), "with", hashesText(v.With), "poison", true,
		"last_crash", v.At, "crashes", v.Crashes, "upstreams", v.Upstreams, "source", source)
}

// sharedParts returns the identifiers of the parts of the request's prompt that other
// requests may have too.
func (r *request) sharedParts() []uint64 {
	if r.Prompt == nil {
		return nil
	}
	shared := r.Prompt.Shared()
	parts := make([]uint64, 0, len(shared))
	for _, part := range shared {
		parts = append(parts, part.Hash)
	}
	return parts
}

// judgeParts decides which parts of prompts crash upstreams, and tells the other entries
// of new verdicts.
func (g *Gateway) judgeParts() {
	g.mu.Lock()
	verdicts := g.poison.JudgeParts(g.trueTime())
	if len(verdicts) > 0 {
		g.cancelDeadlyAttempts()
	}
	g.mu.Unlock()
	for _, v := range verdicts {
		g.logVerdict(v, g.settings.Name)
	}
	if len(verdicts) > 0 {
		g.triggerCrashNews()
	}
}

// errDeadlyPart cancels attempts of requests with a part that crashes upstreams.
var errDeadlyPart = errors.New("a part of the prompt crashes upstreams")

// cancelDeadlyAttempts cancels the attempts that would crash their upstreams when these
// begin to answer. The caller holds mu.
func (g *Gateway) cancelDeadlyAttempts() {
	now := g.trueTime()
	for r, cancel := range g.promptAttempts {
		if !r.progress.writingSince.IsZero() {
			continue
		}
		if _, deadly := g.poison.DeadlyPart(now, r.sharedParts()); deadly {
			cancel(errDeadlyPart)
		}
	}
}

// poisonRefusal returns the refusal of a request that crashes upstreams, by itself or
// because of a part of its prompt, or nil. A retry would be refused again, so the refusal
// has no Retry-After.
func (g *Gateway) poisonRefusal(r *request) *refusal {
	parts := r.sharedParts()
	if len(parts) > 0 {
		g.judgeParts()
	}
	g.mu.Lock()
	now := g.trueTime()
	part, deadly := g.poison.DeadlyPart(now, parts)
	some := g.poison.AnyPoison()
	g.mu.Unlock()
	switch {
	case deadly:
		return newRefusal(http.StatusBadRequest, reason.PoisonPart, 0, "part", partText(part))
	case !some:
		return nil
	}
	f := r.fingerprint()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.poison.Poisoned(now, f) {
		return nil
	}
	return newRefusal(http.StatusBadRequest, reason.Poison, 0, "fingerprint", f)
}

// isPoison reports whether a refusal is one of poisonRefusal.
func (f *refusal) isPoison() bool {
	return slices.Contains([]reason.Reason{reason.Poison, reason.PoisonPart}, f.reason)
}

// provenWritingTime is how long an upstream has to send events of an answer to show that
// none of the parts of its prompt crash upstreams: those that do crash it when it begins.
const provenWritingTime = 250 * time.Millisecond

// provesParts reports whether the current attempt has shown that the parts of its prompt
// do not crash upstreams.
func (p *progress) provesParts(now time.Time) bool {
	return !p.writingSince.IsZero() && now.Sub(p.writingSince) >= provenWritingTime
}

// recordWriting records that an event has arrived.
func (g *Gateway) recordWriting(r *request) {
	now := time.Now()
	if r.progress.writingSince.IsZero() {
		g.mu.Lock()
		r.progress.writingSince = now
		g.countLatency(r, now)
		g.mu.Unlock()
	}
	if r.progress.provesParts(now) {
		g.recordSoundParts(r)
	}
}

// recordSoundParts clears the parts of a request's prompt after its attempt has shown that
// they do not crash upstreams.
func (g *Gateway) recordSoundParts(r *request) {
	if r.progress.partsRecorded {
		return
	}
	r.progress.partsRecorded = true
	parts := r.sharedParts()
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	news := g.poison.SoundParts(g.trueTime(), r.progress.sentAt, parts)
	g.mu.Unlock()
	if news {
		g.log.Info("suspected part was answered", "parts", hashesText(parts), "request_id", r.RequestID, "source", g.settings.Name)
		g.triggerCrashNews()
	}
}

// recordAnswer ends an attempt that got a complete answer, which shows that the request
// does not crash upstreams. isWritten says that the upstream has written an answer to the
// prompt, as opposed to an error or an empty stream.
func (g *Gateway) recordAnswer(r *request, t *placement.Ticket, isWritten bool) {
	f := r.fingerprint()
	g.mu.Lock()
	g.table.End(time.Now(), t, placement.Answered)
	if r.progress.gaps > 0 {
		g.table.ObserveGaps(t, r.progress.gaps, r.progress.longGaps)
		g.table.ObserveStream(t, r.progress.longestPause, r.progress.lastEventAt.Sub(r.progress.writingSince))
	}
	cleared := g.poison.Answered(g.trueTime(), f)
	g.mu.Unlock()
	if isWritten {
		g.recordSoundParts(r)
	}
	if cleared {
		g.log.Warn("verdict on a request", "fingerprint", f, "poison", false, "request_id", r.RequestID)
		g.triggerCrashNews()
	}
}
