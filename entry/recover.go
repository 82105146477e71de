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

// bytesPerToken is the size of a token of a prompt that is assumed for plans.
const bytesPerToken = 4

const (
	// noticeSettle is how long the notices of a wave are gathered before
	// streams are moved, so that none moves to an upstream that leaves too.
	noticeSettle = 100 * time.Millisecond
	// noticeSettleShare bounds that to a share of the time that is left.
	noticeSettleShare = 10
)

// noticed takes a reclaim notice, once or more often: of an entry's host, or of
// an upstream's, which counts as leaving already.
func (e *Entry) noticed(host string, deadline time.Time) {
	e.noticedEntry(host, deadline)
	for _, o := range e.config.catalog().Upstreams() {
		if hostOf(o) == host {
			e.work.Go(func() { e.reclaimUpstream(o.Name, deadline) })
		}
	}
}

// reclaimUpstream plans what becomes of the streams on an upstream whose host
// is reclaimed.
func (e *Entry) reclaimUpstream(name string, deadline time.Time) {
	sleep(e.background, min(noticeSettle, max(time.Until(deadline), 0)/noticeSettleShare))
	e.driver.step(decision.ReclaimEvent{Upstream: name, Deadline: deadline, Streams: e.records.streams()})
}

// streams describes the completions under way.
func (r *registry) streams() []recovery.Stream {
	var out []recovery.Stream
	for _, rec := range r.movable() {
		if s, ok := rec.stream(time.Now()); ok {
			out = append(out, s)
		}
	}
	return out
}

// stream describes the completion; false if it is none or is not running.
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
		s.Interval = now.Sub(r.attempt.began) / time.Duration(r.attempt.tokens)
	}
	return s, true
}

// move carries out a MoveAction in the background. The stream goes on where it
// is while its cache is copied.
func (e *Entry) move(rec *Record, a decision.MoveAction) {
	rec.mu.Lock()
	tag := rec.attempt.id.tag(rec.ID)
	rec.mu.Unlock()
	e.noteMove(rec, a)
	e.work.Go(func() {
		sleep(e.background, a.After)
		if a.Cache {
			e.copyCache(tag, a)
		}
		e.driver.step(decision.MovedEvent{ID: rec.ID, Attempt: a.Attempt})
	})
}

// noteMove records where a stream goes on and how.
func (e *Entry) noteMove(rec *Record, a decision.MoveAction) {
	how := "resume from prompt and answer so far"
	if a.Cache {
		how = "with its KV cache"
	}
	d := operator.Decision{
		Kind: operator.DecisionMoved, RequestID: rec.ID, Attempt: a.Attempt, Reason: reason.UpstreamLeaving,
		Detail: fmt.Sprintf("from=%s after=%s %s", a.From.Name, a.After, how),
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
