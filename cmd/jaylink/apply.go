package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/api"
	"jaylink/operator"
)

func addApply(app *kingpin.Application) {
	cmd := app.Command("apply", "Create or update the objects in files. All of them are validated before any is written.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	files := cmd.Flag("file", "YAML file, or directory with *.yaml files. May be repeated.").Short('f').Required().Strings()
	dryRun := cmd.Flag("dry-run", "Write nothing; print what would change.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error { return runApply(c, *output, *files, *dryRun) })
	})
}

func runApply(c *operator.Client, output string, paths []string, dryRun bool) error {
	sources, err := readSources(paths)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	ctx := context.Background()
	req := operator.ApplyRequest{DryRun: dryRun}
	for _, s := range sources {
		if err := setCurrentVersion(ctx, c, s.Object); err != nil {
			return withExitCode(err)
		}
		req.Objects = append(req.Objects, s.Object)
	}
	reply, err := c.Apply(ctx, req)
	if err != nil {
		return withExitCode(err)
	}
	if output != "table" {
		err = printEncoded(output, reply)
	} else {
		printApply(reply)
	}
	return errors.Join(err, applyError(sources, reply))
}

// setCurrentVersion sets an object's version to the stored one, which the write
// must find.
func setCurrentVersion(ctx context.Context, c *operator.Client, o *api.Object) error {
	current, err := c.Get(ctx, o.Key())
	var failed *operator.StatusError
	if errors.As(err, &failed) && failed.Status == 404 {
		return nil
	}
	if err != nil {
		return err
	}
	o.Version = current.Version
	return nil
}

// printApply prints one line per object, followed by its changed fields.
func printApply(reply operator.ApplyReply) {
	for _, res := range reply.Results {
		fmt.Printf("%s %s version=%d", res.Key, res.Status, res.Version)
		if res.Status != operator.StatusUnchanged {
			writeChanges(os.Stdout, res.Changes)
		}
		fmt.Println()
	}
}

// applyError returns an error with the location of each failed object, or nil. Its
// exit code is the highest one of the failures.
func applyError(sources []api.Source, reply operator.ApplyReply) error {
	var errs []error
	code := 0
	for i, res := range reply.Results {
		field := res.Field
		if field == "" {
			field = "name"
		}
		switch res.Status {
		case operator.StatusInvalid:
			code = max(code, exitBadInput)
		case operator.StatusConflict:
			code = max(code, exitConflict)
		case operator.StatusUnknown:
			code = max(code, exitUnknown)
		default:
			continue
		}
		errs = append(errs, sources[i].Errorf(field, "%s: %s", res.Status, res.Problem), conflictDetail(sources[i].Object, res.Current))
	}
	if err := errors.Join(errs...); err != nil {
		return &exitError{code, err}
	}
	return nil
}

// settingsPrefix is the name prefix of settings files, which are skipped in
// directories of objects.
const settingsPrefix = "entry"

// readSources reads the objects in files and directories, in the order of file
// names.
func readSources(paths []string) ([]api.Source, error) {
	var sources []api.Source
	files, err := expandPaths(paths)
	errs := []error{err}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		s, err := api.DecodeYAML(file, data)
		errs = append(errs, err)
		sources = append(sources, s...)
	}
	return sources, errors.Join(errs...)
}

// expandPaths returns the given files and the object files below the given
// directories. A path that can't be read is reported in the error; the other files
// are still returned.
func expandPaths(paths []string) ([]string, error) {
	var files []string
	var errs []error
	for _, path := range paths {
		err := filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				errs = append(errs, err)
			case d.IsDir():
			case p == path, filepath.Ext(p) == ".yaml" && !strings.HasPrefix(d.Name(), settingsPrefix):
				files = append(files, p)
			}
			return nil
		})
		errs = append(errs, err)
	}
	slices.Sort(files)
	return files, errors.Join(errs...)
}
