package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"jaylink/kernel"
)

// runApp starts an app and stops it at SIGTERM or SIGINT, or when leave is
// closed. A second signal ends the process at once.
func runApp(app *kernel.App, leave <-chan struct{}) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := app.Start(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-leave:
	}
	stop()
	return app.Stop(context.Background())
}

var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// newLogger returns a logger that writes to standard error.
func newLogger(level, format string) *slog.Logger {
	opts := &slog.HandlerOptions{Level: logLevels[level]}
	if format == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, opts))
}
