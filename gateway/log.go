package gateway

import (
	"strconv"
	"strings"
	"time"

	"jaylink/decision/notrun"
	"jaylink/decision/reason"
)

// logRequest writes the log line of a finished request and, for answered requests, its
// metrics.
func (g *Gateway) logRequest(r *request, outcome string, status int, code reason.Reason, more ...any) {
	p := &r.progress
	took := time.Since(r.arrived)
	if outcome == "answered" {
		g.metrics.answered.Inc(1)
		g.metrics.recordLatency("total_ms", r, took)
		if r.route.Streaming {
			g.metrics.recordLatency("pause_ms", r, p.longestPause)
		}
	}
	attrs := []any{
		"request_id", r.RequestID, "outcome", outcome, "status", status, "reason", string(code),
		"ms", took.Milliseconds(), "attempts", p.attempts, "declined", p.declined,
		"upstream", p.upstream.ID, "predicted_ms", p.predicted.Milliseconds(), "first_ms", p.firstEvent.Milliseconds(), "pause_ms", p.longestPause.Milliseconds(),
	}
	if r.route != nil {
		attrs = append(attrs, "route", r.route.Name, "customer", customerName(r), "work", r.work)
		if r.Prompt != nil {
			attrs = append(attrs, "prompt_tokens", r.Prompt.Input, "unread_tokens", p.unreadTokens, "running", p.running)
		}
	}
	if p.predictedHigh > 0 {
		attrs = append(attrs, "predicted_high_ms", p.predictedHigh.Milliseconds(),
			"predicted_pause_ms", p.predictedPause.Milliseconds(), "predicted_pause_high_ms", p.predictedPauseHigh.Milliseconds(), "slowdown", p.slowdown)
	}
	if r.config != nil {
		attrs = append(attrs, "configuration", r.config.Version)
	}
	if p.limited {
		attrs = append(attrs, "upstream_limit", p.limit)
	}
	if p.notRun != notrun.None {
		attrs = append(attrs, "not_run", string(p.notRun))
	}
	if p.end != "" {
		attrs = append(attrs, "upstream_at_end", p.end)
	}
	if p.detail != "" {
		attrs = append(attrs, "detail", p.detail)
	}
	g.log.Info("request", append(attrs, more...)...)
}

// logFailedAttempt logs and counts an attempt that did not yield the request's answer.
func (g *Gateway) logFailedAttempt(r *request, message string) {
	p := &r.progress
	if c := g.metrics.unanswered[p.reason]; c != nil {
		c.Inc(1)
	}
	attrs := []any{
		"request_id", r.RequestID, "upstream", p.upstream.ID, "reason", string(p.reason),
		"attempts", p.attempts, "declined", p.declined, "ms", time.Since(r.arrived).Milliseconds(),
		"last_event", p.lastEvent, "detail", p.detail,
	}
	if p.notRun != notrun.None {
		attrs = append(attrs, "not_run", string(p.notRun))
	}
	if p.limited {
		attrs = append(attrs, "upstream_limit", p.limit)
	}
	g.log.Info(message, attrs...)
}

// logLostConnection logs a connection that broke under a request, with what the request
// shares with others, so that crashes with a common cause can be found.
func (g *Gateway) logLostConnection(r *request, fingerprint uint64) {
	writing := time.Duration(0)
	if at := r.progress.writingSince; !at.IsZero() {
		writing = time.Since(at)
	}
	g.log.Info("connection to upstream lost", "request_id", r.RequestID, "upstream", r.progress.upstream.ID,
		"route", r.route.Name, "customer", customerName(r), "fingerprint", fingerprint,
		"parts", hashesText(r.sharedParts()), "writing_ms", writing.Milliseconds())
}

// hashesText returns the identifiers of parts.
func hashesText(parts []uint64) string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, partText(part))
	}
	return strings.Join(ids, ",")
}

// partText returns the identifier of a part as callers write it, without leading zeros.
func partText(hash uint64) string { return strconv.FormatUint(hash, 16) }
