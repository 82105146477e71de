package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/decision"
	"jaylink/decision/recovery"
	"jaylink/kernel"
	"jaylink/plugin/standard"
	"jaylink/trace"
)

func addReplay(app *kingpin.Application) {
	cmd := app.Command("replay", "Replay a recorded trace through the decision core and check expected outcomes. Exit code 1 if one is not met.")
	file := cmd.Arg("trace", "Trace, recorded by jaylink entry --trace.").Required().ExistingFile()
	outcomes := cmd.Flag("outcomes", "Expected outcomes (YAML).").ExistingFile()
	cmd.Action(func(*kingpin.ParseContext) error { return runReplay(*file, *outcomes) })
}

func runReplay(file, outcomes string) error {
	in, err := os.Open(file)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	defer in.Close()
	t, err := trace.Read(in)
	if err != nil {
		return &exitError{exitBadInput, fmt.Errorf("%s: %w", file, err)}
	}
	want := &trace.Outcomes{}
	if outcomes != "" {
		if want, err = trace.ReadOutcomes(outcomes); err != nil {
			return &exitError{exitBadInput, err}
		}
	}
	return replayTrace(t, want)
}

func replayTrace(t *trace.Trace, want *trace.Outcomes) error {
	var failures []string
	if want.SameActions {
		cfg, err := buildChain(t)
		if err != nil {
			return &exitError{exitBadInput, err}
		}
		failures = trace.Repeat(t, cfg).Differences
	}
	cfg, err := buildChain(t)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	r := trace.Resimulate(t, cfg)
	fmt.Printf("requests=%d answered=%d dispatches=%d refused=%v cost=%.4g urgent_wait=%s\n",
		r.Requests, r.Answered, r.Dispatches, r.Refused, r.Cost, r.UrgentWait)
	failures = append(failures, want.Check(r)...)
	for _, m := range failures {
		fmt.Println("missed:", m)
	}
	if len(failures) > 0 {
		return errors.New("expected outcomes were not met")
	}
	return nil
}

// buildChain builds the filters and scorers that the trace's header lists.
func buildChain(t *trace.Trace) (decision.Config, error) {
	var ids []kernel.ModuleID
	for _, id := range t.Header.Modules {
		ids = append(ids, kernel.ModuleID(id))
	}
	cfg, err := standard.Chain(t.Header.Zone, t.Header.Region, ids)
	if t.Header.Recovery != (recovery.Rates{}) {
		cfg.Recovery = recovery.NewPlanner(t.Header.Recovery)
	}
	return cfg, err
}
