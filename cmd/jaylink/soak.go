package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/internal/soak"
)

func addSoak(app *kingpin.Application) {
	cmd := app.Command("soak", "Run gateway processes on loopback, inject random external faults and check what callers and upstreams observe.")
	first := cmd.Flag("seed", "First seed.").Default("1").Uint64()
	count := cmd.Flag("seeds", "Number of consecutive seeds to run.").Default("1").Int()
	length := cmd.Flag("for", "Duration of fault injection for each seed.").Default("30s").Duration()
	entries := cmd.Flag("entries", "Number of gateways.").Default("3").Int()
	upstreams := cmd.Flag("upstreams", "Number of upstreams.").Default("6").Int()
	callers := cmd.Flag("callers", "Number of callers.").Default("12").Int()
	processes := cmd.Flag("processes", "Number of further upstreams that are processes of their own.").Default("4").Int()
	planned := cmd.Flag("planned", "No faults: only stops, hangups and configuration changes, in which no request may be lost.").Bool()
	frozen := cmd.Flag("frozen", "No faults but frozen entries: their connections to upstreams are reset while they stand still.").Bool()
	herds := cmd.Flag("herds", "No faults but kills of all entries at the same moment, beside requests that crash their upstreams.").Bool()
	silent := cmd.Flag("silent", "No faults but entries that freeze right after upstreams and the configuration have changed.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		return runSoak(*first, *count, soak.Options{For: *length, Entries: *entries, Upstreams: *upstreams, Callers: *callers, Processes: *processes, Planned: *planned, Frozen: *frozen, Herds: *herds, Silent: *silent})
	})
}

func runSoak(first uint64, count int, o soak.Options) error {
	binary, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	failed := 0
	for i := 0; i < count && ctx.Err() == nil; i++ {
		o.Binary, o.Seed, o.Out = binary, first+uint64(i), os.Stdout
		start := time.Now()
		r, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		fmt.Printf("seed=%d faults=%d requests=%d answered=%d refused=%d lost=%d violations=%d took=%s logs=%s\n",
			r.Seed, len(r.Faults), r.Requests, r.Answered, r.Refused, r.LostKept, len(r.Violations), time.Since(start).Round(time.Second), r.Dir)
		for _, v := range r.Violations {
			fmt.Println("  ", v)
		}
		if len(r.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return &exitError{exitFailed, errors.New("guarantees were violated; seeds and logs are listed above")}
	}
	return nil
}
