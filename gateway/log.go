package gateway

import (
	"time"

	"jaylink/decision/reason"
)

// logEnd writes the line that explains how a request ended.
func (g *Gateway) logEnd(r *request, outcome string, status int, why reason.Reason, more ...any) {
	p := &r.progress
	took := time.Since(r.arrived)
	if outcome == "answered" {
		g.metrics.answered.Inc(1)
		g.metrics.took("total_ms", r, took)
		if r.route.Streaming {
			g.metrics.took("pause_ms", r, p.pause)
		}
	}
	attrs := []any{
		"request_id", r.RequestID, "outcome", outcome, "status", status, "reason", string(why),
		"ms", took.Milliseconds(), "attempts", p.attempts, "declined", p.declined,
		"upstream", p.upstream.ID, "predicted_ms", p.predicted.Milliseconds(), "first_ms", p.first.Milliseconds(), "pause_ms", p.pause.Milliseconds(),
	}
	if r.route != nil {
		attrs = append(attrs, "route", r.route.Name, "customer", customerName(r), "work", r.work)
		if r.Prompt != nil {
			attrs = append(attrs, "prompt_tokens", r.Prompt.Input, "unread_tokens", p.unread, "running", p.running)
		}
	}
	if r.config != nil {
		attrs = append(attrs, "configuration", r.config.Version)
	}
	if p.detail != "" {
		attrs = append(attrs, "detail", p.detail)
	}
	g.log.Info("request", append(attrs, more...)...)
}

// logAttempt writes a line for an attempt that did not give the answer.
func (g *Gateway) logAttempt(r *request, message string) {
	p := &r.progress
	if c := g.metrics.unanswered[p.why]; c != nil {
		c.Inc(1)
	}
	g.log.Info(message, "request_id", r.RequestID, "upstream", p.upstream.ID, "reason", string(p.why),
		"attempts", p.attempts, "declined", p.declined, "ms", time.Since(r.arrived).Milliseconds(),
		"last_event", p.lastEvent, "detail", p.detail)
}
