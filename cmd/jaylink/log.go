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

// errorHandler writes errors as their text, with the step and the peer at which
// they arose as attributes of their own, and without a stack trace.
type errorHandler struct{ slog.Handler }

// Handle implements slog.Handler.
func (h errorHandler) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	named := map[string]bool{}
	r.Attrs(func(a slog.Attr) bool { named[a.Key] = true; return true })
	r.Attrs(func(a slog.Attr) bool {
		out.AddAttrs(errorAttrs(a, named)...)
		return true
	})
	return h.Handler.Handle(ctx, out)
}

// errorAttrs returns what stands for an attribute; named has the keys that the
// line has already.
func errorAttrs(a slog.Attr, named map[string]bool) []slog.Attr {
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
		if v, ok := values[key]; ok && !named[key] {
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
