package logsink

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limiter is a slog.Handler that passes on a limited number of lines per second of each
// kind. In the next second in which it gets a line, it logs how many lines of each kind
// it omitted. The kind of a line is its message with the values of some attributes.
type Limiter struct {
	slog.Handler
	shared *limits
}

// limits is the state that a limiter shares with the handlers derived from it.
type limits struct {
	keys         []string
	maxPerSecond func(kind string) int
	// omitted is the number of lines omitted so far.
	omitted atomic.Int64

	mu     sync.Mutex
	second int64
	seen   map[string]int
}

// NewLimiter returns a limiter. The kind of a line is its message and the values of the
// attributes in keys, joined by "/". maxPerSecond returns how many lines of a kind may
// pass per second.
func NewLimiter(next slog.Handler, keys []string, maxPerSecond func(kind string) int) *Limiter {
	return &Limiter{next, &limits{keys: keys, maxPerSecond: maxPerSecond, seen: map[string]int{}}}
}

// LeftOut returns the number of lines omitted so far.
func (l *Limiter) LeftOut() int64 { return l.shared.omitted.Load() }

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	passes, summary := l.shared.count(r)
	for _, s := range summary {
		if err := l.Handler.Handle(ctx, s); err != nil {
			return err
		}
	}
	if !passes {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (l *Limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Limiter{l.Handler.WithAttrs(attrs), l.shared}
}

// WithGroup implements slog.Handler.
func (l *Limiter) WithGroup(name string) slog.Handler {
	return &Limiter{l.Handler.WithGroup(name), l.shared}
}

// count counts a line and reports whether it passes. For the first line of a new second
// it also returns the summary of the previous one.
func (l *limits) count(r slog.Record) (passes bool, summary []slog.Record) {
	kind := l.kindOf(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := r.Time.Unix(); second != l.second {
		summary = l.summarize(r.Time)
		l.second = second
		clear(l.seen)
	}
	l.seen[kind]++
	if l.seen[kind] > l.maxPerSecond(kind) {
		l.omitted.Add(1)
		return false, summary
	}
	return true, summary
}

// summarize returns a summary line for each kind with omitted lines.
func (l *limits) summarize(now time.Time) []slog.Record {
	var out []slog.Record
	for _, kind := range slices.Sorted(maps.Keys(l.seen)) {
		if over := l.seen[kind] - l.maxPerSecond(kind); over > 0 {
			r := slog.NewRecord(now, slog.LevelWarn, "log lines left out", 0)
			r.AddAttrs(slog.String("kind", kind), slog.Int("count", over))
			out = append(out, r)
		}
	}
	return out
}

func (l *limits) kindOf(r slog.Record) string {
	kind := r.Message
	r.Attrs(func(a slog.Attr) bool {
		if slices.Contains(l.keys, a.Key) {
			kind += "/" + a.Value.String()
		}
		return true
	})
	return kind
}
