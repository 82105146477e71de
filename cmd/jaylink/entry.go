package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/entry"
	"jaylink/kernel"
)

func addEntry(app *kingpin.Application) {
	cmd := app.Command("entry", "Run the entry process: accept requests and run them on upstreams. SIGTERM stops it gracefully.")
	file := cmd.Flag("settings", "Settings file (YAML).").Short('s').Required().Envar("JAYLINK_SETTINGS").String()
	trace := cmd.Flag("trace", "Record the events of the decision core in this file, for jaylink replay. No prompt or answer is recorded.").String()
	cmd.Action(func(*kingpin.ParseContext) error { return runEntry(*file, *trace) })
}

func runEntry(file, trace string) error {
	settings, err := entry.ReadSettings(file)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	e, err := entry.New(settings, newLogger(settings.Log.Level, settings.Log.Format))
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	if trace != "" {
		out, err := os.Create(trace)
		if err != nil {
			return &exitError{exitBadInput, err}
		}
		if err := e.RecordTrace(out); err != nil {
			return err
		}
	}
	var app kernel.App
	app.Add("entry", e)
	return runApp(&app)
}
