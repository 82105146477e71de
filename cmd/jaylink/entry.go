package main

import (
	"github.com/alecthomas/kingpin/v2"

	"jaylink/entry"
	"jaylink/kernel"
)

func addEntry(app *kingpin.Application) {
	cmd := app.Command("entry", "Run the entry process: accept requests and run them on upstreams. SIGTERM stops it gracefully.")
	file := cmd.Flag("settings", "Settings file (YAML).").Short('s').Required().Envar("JAYLINK_SETTINGS").String()
	cmd.Action(func(*kingpin.ParseContext) error { return runEntry(*file) })
}

func runEntry(file string) error {
	settings, err := entry.ReadSettings(file)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	e, err := entry.New(settings, newLogger(settings.Log.Level, settings.Log.Format))
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	var app kernel.App
	app.Add("entry", e)
	return runApp(&app)
}
