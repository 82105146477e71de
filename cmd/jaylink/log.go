package main

import (
	"context"
	"io"
	"log/slog"
	"os"

	"github.com/samber/oops"
)

var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// newLogger returns a logger that writes to standard error.
func newLogger(level, format string) *slog.Logger { return newLoggerTo(os.Stderr, level, format) }

func newLoggerTo(out io.Writer, level, format string) *slog.Logger {
	opts := &slog.HandlerOptions{Level: logLevels[level]}
	var h slog.Handler = slog.NewJSONHandler(out, opts)
	if format == "text" {
		h = slog.NewTextHandler(out, opts)
	}
	return slog.New(errorHandler{h})
}

// errorHandler logs errors as their text, without a stack trace. The step and the
// peer in an error's context become attributes of the line.
type errorHandler struct{ slog.Handler }

// Handle implements slog.Handler.
func (h errorHandler) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	present := map[string]bool{}
	r.Attrs(func(a slog.Attr) bool { present[a.Key] = true; return true })
	r.Attrs(func(a slog.Attr) bool {
		out.AddAttrs(errorAttrs(a, present)...)
		return true
	})
	return h.Handler.Handle(ctx, out)
}

// errorAttrs returns the attributes that replace a; present has the keys that the
// line already has.
func errorAttrs(a slog.Attr, present map[string]bool) []slog.Attr {
	err, ok := a.Value.Any().(error)
	if !ok {
		return []slog.Attr{a}
	}
	attrs := []slog.Attr{slog.String(a.Key, err.Error())}
	wrapped, ok := oops.AsOops(err)
	if !ok {
		return attrs
	}
	values := wrapped.Context()
	for _, key := range []string{"step", "peer"} {
		if v, ok := values[key]; ok && !present[key] {
			attrs = append(attrs, slog.Any(key, v))
		}
	}
	return attrs
}

// WithAttrs implements slog.Handler.
func (h errorHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return errorHandler{h.Handler.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h errorHandler) WithGroup(name string) slog.Handler {
	return errorHandler{h.Handler.WithGroup(name)}
}
