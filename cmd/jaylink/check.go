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
	cmd := app.Command("check", "Validate files without an entry: objects, settings of an entry, and the platform's settings. The type of a file is detected from its content.")
	files := cmd.Arg("file", "File, or directory with *.yaml files of objects.").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error { return runCheck(*files) })
}

// runCheck validates all files and reports their errors together.
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
	errs = append(append(errs, err), checkCatalog(sources)...)
	if err := errors.Join(errs...); err != nil {
		return &exitError{exitBadInput, err}
	}
	fmt.Printf("ok: %d files, %d objects\n", len(paths), len(sources))
	return nil
}

// settingsCheck returns the validation for a settings file. It returns nil for a
// file of objects and for one that can't be read, which readSources reports later.
func settingsCheck(path string) func(string) error {
	data, err := os.ReadFile(path)
	switch {
	case err != nil:
		return nil
	case platform.LooksLikeSettings(data):
		return checkPlatformSettings
	case isEntrySettings(path, data):
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

// isEntrySettings reports whether a file has settings of an entry and not objects,
// which have a kind and a spec.
func isEntrySettings(path string, data []byte) bool {
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

// checkCatalog returns the errors that only show when all objects are validated
// together.
func checkCatalog(sources []api.Source) []error {
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
