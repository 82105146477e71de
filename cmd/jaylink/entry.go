package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/entry"
	"jaylink/kernel"
)

func addEntry(app *kingpin.Application) {
	cmd := app.Command("entry", "Run the entry process: accept requests and forward them to upstreams. SIGTERM stops it gracefully.")
	file := cmd.Flag("settings", "Settings file (YAML).").Short('s').Envar("JAYLINK_SETTINGS").String()
	set := cmd.Flag("set", "FIELD=VALUE overrides a field of the file, for example log.level=debug. May be repeated.").Strings()
	printDefaults := cmd.Flag("print-defaults", "Print a commented settings file with the defaults and exit.").Bool()
	trace := cmd.Flag("trace", "Record the events of the decision core to this file, for jaylink replay. Prompts and answers are not recorded.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		if *printDefaults {
			fmt.Print(entry.DefaultsYAML)
			return nil
		}
		return runEntry(*file, *set, *trace)
	})
}

// readSettings reads the settings file and applies the overrides from the
// environment and from --set flags, in this order.
func readSettings(file string, set []string) (entry.Settings, error) {
	if file == "" {
		return entry.Settings{}, errors.New("flag --settings or environment variable JAYLINK_SETTINGS must name a settings file")
	}
	overrides := entry.EnvironmentOverrides(os.LookupEnv)
	for _, text := range set {
		o, err := entry.FlagOverride(text)
		if err != nil {
			return entry.Settings{}, err
		}
		overrides = append(overrides, o)
	}
	return entry.ReadSettings(file, overrides...)
}

func runEntry(file string, set []string, trace string) error {
	settings, err := readSettings(file, set)
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
	return runApp(&app, e.DrainRequested())
}
