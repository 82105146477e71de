package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/gateway"
	"jaylink/internal/hangup"
	"jaylink/internal/logsink"
	"jaylink/kernel"
	"jaylink/platform"
)

const (
	// logBuffer is the number of log lines that are buffered before the writer.
	logBuffer = 2048
	// heapLimitRatio is the fraction of the process's memory limit that is set as
	// the soft memory limit of the Go runtime.
	heapLimitRatio = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage collection.
	// It is below Go's default because peak memory is paid for.
	gcPercent = 60
	// maxAnsweredLines and maxOtherLines bound the log lines of one kind per second.
	// The busiest entry of the deployments answers about 150 requests per second.
	maxAnsweredLines = 200
	maxOtherLines    = 500
)

func addGateway(app *kingpin.Application) {
	cmd := app.Command(hangup.Command, "Run an entry on the hosting platform: forward callers' requests to upstreams. SIGTERM stops it gracefully.")
	file := cmd.Flag("settings", "The platform's settings file.").Short('s').Envar(platform.SettingsVariable).String()
	cmd.Action(func(*kingpin.ParseContext) error { return runGateway(*file) })
}

func runGateway(file string) error {
	if file == "" {
		return &exitError{exitBadInput, errors.New("flag --settings or environment variable " + platform.SettingsVariable + " must name a settings file")}
	}
	settings, err := platform.ReadSettings(file)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapLimitRatio * float64(settings.MemoryMB) * (1 << 20)))
	sink := logsink.New(os.Stdout, logBuffer)
	defer sink.Close()
	limiter := logsink.NewLimiter(newLoggerTo(sink, "info", "json").Handler(), []string{"outcome", "reason"}, linesPerSecond)
	log := slog.New(limiter)
	stop := checkSettingsOnHangup(file, log)
	defer stop()
	var app kernel.App
	g := gateway.New(settings, log)
	g.CountLogLosses(func() (limited, dropped int64) { return limiter.LeftOut(), sink.Dropped() })
	app.Add("gateway", g)
	return runApp(&app, nil)
}

// linesPerSecond returns the maximum number of log lines of a kind per second.
// Answered requests get a lower limit because the metrics count them as well.
func linesPerSecond(kind string) int {
	if strings.HasPrefix(kind, "request/answered") {
		return maxAnsweredLines
	}
	return maxOtherLines
}

// checkSettingsOnHangup validates the settings file at each SIGHUP and logs the
// result. Changes take effect at the next start.
func checkSettingsOnHangup(file string, log *slog.Logger) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup.Received:
				_, err := platform.ReadSettings(file)
				log.Info("settings file read again", "err", err)
			}
		}
	}()
	return cancel
}
