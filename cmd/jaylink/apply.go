package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/api"
	"jaylink/entry"
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

// readSources reads the objects of files and folders, in name order.
func readSources(paths []string) ([]api.Source, error) {
	var sources []api.Source
	var errs []error
	files, err := expand(paths)
	if err != nil {
		return nil, err
	}
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

// settingsPrefix starts the names of settings files, which are not objects.
const settingsPrefix = "entry"

func expand(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		err = filepath.WalkDir(path, func(p string, d fs.DirEntry, err error) error {
			if err == nil && !d.IsDir() && filepath.Ext(p) == ".yaml" && !isSettings(p) {
				files = append(files, p)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	slices.Sort(files)
	return files, nil
}

func isSettings(path string) bool {
	base := filepath.Base(path)
	return len(base) >= len(settingsPrefix) && base[:len(settingsPrefix)] == settingsPrefix
}

func addCheck(app *kingpin.Application) {
	cmd := app.Command("check", "Check files without an entry: objects, and settings whose name starts with \"entry\".")
	files := cmd.Arg("file", "File or folder.").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error { return runCheck(*files) })
}

func runCheck(paths []string) error {
	var objects, errs []error
	var rest []string
	for _, path := range paths {
		if isSettings(path) {
			_, err := entry.ReadSettings(path)
			errs = append(errs, err)
			continue
		}
		rest = append(rest, path)
	}
	sources, err := readSources(rest)
	errs = append(errs, err)
	objects = checkTogether(sources)
	if err := errors.Join(append(errs, objects...)...); err != nil {
		return &exitError{exitBadInput, err}
	}
	fmt.Printf("ok: %d files, %d objects\n", len(paths), len(sources))
	return nil
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
