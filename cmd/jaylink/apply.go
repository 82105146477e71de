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
	cmd := app.Command("apply", "Write the objects of files. All are checked before any is written.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	files := cmd.Flag("file", "YAML file, or folder with *.yaml files. May be repeated.").Short('f').Required().Strings()
	dryRun := cmd.Flag("dry-run", "Write nothing; print what would change.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.do(func(c *operator.Client) error { return runApply(c, *output, *files, *dryRun) })
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
		if err := fillVersion(ctx, c, s.Object); err != nil {
			return statusExit(err)
		}
		req.Objects = append(req.Objects, s.Object)
	}
	reply, err := c.Apply(ctx, req)
	if err != nil {
		return statusExit(err)
	}
	if output != "table" {
		err = printAs(output, reply)
	} else {
		printApply(reply)
	}
	return errors.Join(err, applyError(sources, reply))
}

// fillVersion sets the version that the write replaces.
func fillVersion(ctx context.Context, c *operator.Client, o *api.Object) error {
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

// printApply prints a line an object, with what changes about it.
func printApply(reply operator.ApplyReply) {
	for _, res := range reply.Results {
		fmt.Printf("%s %s version=%d", res.Key, res.Status, res.Version)
		if res.Status != operator.StatusUnchanged {
			writeChanges(os.Stdout, res.Changes)
		}
		fmt.Println()
	}
}

// applyError returns the worst outcome, with the place of each mistake.
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
		errs = append(errs, sources[i].Errorf(field, "%s: %s", res.Status, res.Problem), stale(sources[i].Object, res.Current))
	}
	if err := errors.Join(errs...); err != nil {
		return &exitError{code, err}
	}
	return nil
}

// settingsPrefix starts the names of settings files, which a folder may have
// beside its objects.
const settingsPrefix = "entry"

// readSources reads the objects of files and folders, in name order.
func readSources(paths []string) ([]api.Source, error) {
	var sources []api.Source
	files, err := expand(paths)
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

// expand returns the files that are named and those in the folders that are. What
// can't be read does not keep back the others.
func expand(paths []string) ([]string, error) {
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
