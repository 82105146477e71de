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

// Limiter is a handler that passes on a bounded number of lines a second of each
// kind, and then one line that counts what it left out. What kind a line is of
// shows from its message and the values of some attributes.
type Limiter struct {
	slog.Handler
	shared *limits
}

// limits is what a limiter shares with those derived from it.
type limits struct {
	keys []string
	most func(kind string) int
	// left is the number of lines left out so far.
	left atomic.Int64

	mu     sync.Mutex
	second int64
	seen   map[string]int
}

// NewLimiter returns a limiter; keys are the attributes that tell kinds of lines
// apart beside their message, most returns how many lines of a kind may pass in a
// second. A kind is the message and the values, joined by "/".
func NewLimiter(next slog.Handler, keys []string, most func(kind string) int) *Limiter {
	return &Limiter{next, &limits{keys: keys, most: most, seen: map[string]int{}}}
}

// LeftOut returns the number of lines left out so far.
func (l *Limiter) LeftOut() int64 { return l.shared.left.Load() }

// Handle implements slog.Handler.
func (l *Limiter) Handle(ctx context.Context, r slog.Record) error {
	passes, summary := l.shared.take(r)
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

// take counts a line and reports whether it passes; in a new second it also
// returns what sums up the last.
func (l *limits) take(r slog.Record) (passes bool, summary []slog.Record) {
	kind := l.kindOf(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := r.Time.Unix(); second != l.second {
		summary = l.sumUp(r.Time)
		l.second = second
		clear(l.seen)
	}
	l.seen[kind]++
	if l.seen[kind] > l.most(kind) {
		l.left.Add(1)
		return false, summary
	}
	return true, summary
}

// sumUp returns a line for each kind of which lines were left out.
func (l *limits) sumUp(now time.Time) []slog.Record {
	var out []slog.Record
	for _, kind := range slices.Sorted(maps.Keys(l.seen)) {
		if over := l.seen[kind] - l.most(kind); over > 0 {
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
