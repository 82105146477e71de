package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jaylink/kernel"
)

// runApp starts an app and stops it on SIGTERM or SIGINT, or when leave is closed. Supervisors
// that restart send SIGTERM again, which changes nothing; a second SIGINT terminates the process
// immediately.
func runApp(app *kernel.App, leave <-chan struct{}) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
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
