package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/gateway"
	"jaylink/internal/logsink"
	"jaylink/kernel"
	"jaylink/platform"
)

const (
	// logBuffer is the number of log lines that may wait to be written.
	logBuffer = 2048
	// memoryShare is the part of the memory limit that the heap aims at.
	memoryShare = 0.6
	// collectAt is the growth of the heap, in percent, after which garbage is
	// collected; small because peak memory is paid for.
	collectAt = 60
	// answeredLines and otherLines bound the log lines of one kind in a second;
	// the busiest entry of the deployments answers some 150 requests in it.
	answeredLines = 200
	otherLines    = 500
)

func addGateway(app *kingpin.Application) {
	cmd := app.Command("gateway", "Run an entry on the hosting platform: forward callers' requests to upstreams. SIGTERM stops it gracefully.")
	file := cmd.Flag("settings", "The platform's settings file.").Short('s').Envar(platform.SettingsVariable).String()
	cmd.Action(func(*kingpin.ParseContext) error { return runGateway(*file) })
}

func runGateway(file string) error {
	if file == "" {
		return &exitError{exitBadInput, errors.New("flag --settings or the environment " + platform.SettingsVariable + " must name a settings file")}
	}
	settings, err := platform.ReadSettings(file)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	sink := logsink.New(os.Stdout, logBuffer)
	defer sink.Close()
	limiter := logsink.NewLimiter(newLoggerTo(sink, "info", "json").Handler(), []string{"outcome", "reason"}, linesOf)
	log := slog.New(limiter)
	stop := watchHangup(file, log)
	defer stop()
	var app kernel.App
	g := gateway.New(settings, log)
	g.CountLogLosses(func() (limited, dropped int64) { return limiter.LeftOut(), sink.Dropped() })
	app.Add("gateway", g)
	return runApp(&app, nil)
}

// linesOf returns how many lines of a kind may be written in a second. Requests
// that were answered are counted by the metrics as well.
func linesOf(kind string) int {
	if strings.HasPrefix(kind, "request/answered") {
		return answeredLines
	}
	return otherLines
}

// watchHangup checks the settings file at each SIGHUP. Addresses and bounds take
// effect at the next start.
func watchHangup(file string, log *slog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				_, err := platform.ReadSettings(file)
				log.Info("settings file read again", "err", err)
			}
		}
	}()
	return cancel
}
