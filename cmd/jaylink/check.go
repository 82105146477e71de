package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/api"
	"jaylink/entry"
	"jaylink/internal/strictyaml"
	"jaylink/platform"
)

func addCheck(app *kingpin.Application) {
	cmd := app.Command("check", "Check files without an entry: objects, settings of an entry, and the platform's settings. What a file is shows from its content.")
	files := cmd.Arg("file", "File, or folder with the *.yaml files of objects.").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error { return runCheck(*files) })
}

// runCheck prints the mistakes of all files at once.
func runCheck(paths []string) error {
	var errs []error
	var objects []string
	for _, path := range paths {
		check := settingsCheck(path)
		if check == nil {
			objects = append(objects, path)
			continue
		}
		errs = append(errs, check(path))
	}
	sources, err := readSources(objects)
	errs = append(append(errs, err), checkTogether(sources)...)
	if err := errors.Join(errs...); err != nil {
		return &exitError{exitBadInput, err}
	}
	fmt.Printf("ok: %d files, %d objects\n", len(paths), len(sources))
	return nil
}

// settingsCheck returns the check for a settings file, or nil for what has
// objects or can't be read; reading the objects reports that.
func settingsCheck(path string) func(string) error {
	data, err := os.ReadFile(path)
	switch {
	case err != nil:
		return nil
	case platform.LooksLikeSettings(data):
		return checkPlatformSettings
	case looksLikeEntrySettings(path, data):
		return checkEntrySettings
	}
	return nil
}

func checkPlatformSettings(path string) error {
	_, err := platform.ReadSettings(path)
	return err
}

func checkEntrySettings(path string) error {
	_, err := entry.ReadSettings(path)
	return err
}

// looksLikeEntrySettings tells settings from objects, which have a kind and a
// spec.
func looksLikeEntrySettings(path string, data []byte) bool {
	docs, err := strictyaml.Split(path, data)
	if err != nil {
		return false
	}
	for _, doc := range docs {
		if doc.Has("kind") || doc.Has("spec") {
			return false
		}
	}
	return len(docs) > 0
}

// checkTogether finds the mistakes that only show beside the other objects.
func checkTogether(sources []api.Source) []error {
	var errs []error
	byKey := map[api.Key]api.Source{}
	var objects []*api.Object
	for _, s := range sources {
		byKey[s.Object.Key()] = s
		objects = append(objects, s.Object)
	}
	for _, e := range api.NewCatalog(objects).Check() {
		errs = append(errs, byKey[e.Key].Errorf(e.Field, "%s", e.Problem))
	}
	return errs
}
