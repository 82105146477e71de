package entry

import (
	"context"
	"fmt"
	"time"

	"jaylink/decision"
	"jaylink/decision/reason"
	"jaylink/decision/recovery"
	"jaylink/operator"
	"jaylink/upstream"
)

// bytesPerToken is the size of a prompt token that is assumed in plans for
// moving streams.
const bytesPerToken = 4

const (
	// noticeBatchDelay is how long the reclaim notices that arrive together
	// are collected before streams are moved, so that no stream moves to an
	// upstream that is reclaimed as well.
	noticeBatchDelay = 100 * time.Millisecond
	// noticeBatchDivisor limits that delay to a fraction of the time left
	// until the deadline.
	noticeBatchDivisor = 10
)

// handleReclaimNotice handles a reclaim notice for a host of an entry or of
// upstreams, which already count as leaving. The same notice may arrive
// repeatedly.
func (e *Entry) handleReclaimNotice(host string, deadline time.Time) {
	e.handleEntryReclaim(host, deadline)
	for _, o := range e.config.catalog().Upstreams() {
		if hostName(o) == host {
			e.work.Go(func() { e.reclaimUpstream(o.Name, deadline) })
		}
	}
}

// reclaimUpstream plans how to move or resume the streams on an upstream whose
// host is being reclaimed.
func (e *Entry) reclaimUpstream(name string, deadline time.Time) {
	sleep(e.background, min(noticeBatchDelay, max(time.Until(deadline), 0)/noticeBatchDivisor))
	e.driver.step(decision.ReclaimEvent{Upstream: name, Deadline: deadline, Streams: e.records.streams()})
}

// streams returns the completions that are running and can be moved.
func (r *registry) streams() []recovery.Stream {
	var out []recovery.Stream
	for _, rec := range r.transferable() {
		if s, ok := rec.stream(time.Now()); ok {
			out = append(out, s)
		}
	}
	return out
}

// stream returns the running completion of the record; false if the request is
// not a completion or no attempt is running.
func (r *Record) stream(now time.Time) (recovery.Stream, bool) {
	c := r.Call.Completion
	r.mu.Lock()
	defer r.mu.Unlock()
	if c == nil || !r.attempt.running() {
		return recovery.Stream{}, false
	}
	s := recovery.Stream{
		ID: r.ID, Prompt: len(c.Prompt) / bytesPerToken, Generated: r.tokens, Left: c.MaxTokens - r.tokens,
	}
	if r.attempt.tokens > 0 {
		s.Interval = now.Sub(r.attempt.startedAt) / time.Duration(r.attempt.tokens)
	}
	return s, true
}

// moveStream executes a MoveAction in the background. The stream continues on
// its current upstream while its KV cache is copied.
func (e *Entry) moveStream(rec *Record, a decision.MoveAction) {
	rec.mu.Lock()
	tag := rec.attempt.id.tag(rec.ID)
	rec.mu.Unlock()
	e.recordMove(rec, a)
	e.work.Go(func() {
		sleep(e.background, a.After)
		if a.Cache {
			e.copyCache(tag, a)
		}
		e.driver.step(decision.MovedEvent{ID: rec.ID, Attempt: a.Attempt})
	})
}

// recordMove records as a decision where a stream continues and how.
func (e *Entry) recordMove(rec *Record, a decision.MoveAction) {
	method := "resume from prompt and answer so far"
	if a.Cache {
		method = "with its KV cache"
	}
	d := operator.Decision{
		Kind: operator.DecisionMoved, RequestID: rec.ID, Attempt: a.Attempt, Reason: reason.UpstreamLeaving,
		Detail: fmt.Sprintf("from=%s after=%s %s", a.From.Name, a.After, method),
	}
	if a.To != nil {
		d.Upstream = a.To.Name
	}
	e.decisions.add(d)
}

func (e *Entry) copyCache(tag string, a decision.MoveAction) {
	ctx, cancel := context.WithDeadline(e.background, a.Deadline)
	defer cancel()
	order := upstream.CacheImport{RequestID: tag, From: a.From.Spec.Address}
	if err := e.upstreams.ImportCache(ctx, a.To.Spec.Address, order); err != nil {
		e.metrics.cacheFailed.Inc(1)
		e.log.Warn("KV cache was not moved", "attempt", tag, "step", "import_cache", "upstream", a.To.Name, "err", err)
		return
	}
	e.metrics.cacheMoved.Inc(1)
}
