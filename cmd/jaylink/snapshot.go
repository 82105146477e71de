package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"gopkg.in/yaml.v3"

	"jaylink/api"
	"jaylink/operator"
)

// maxRestoreAttempts bounds how often restore applies a snapshot if other operators
// change objects concurrently.
const maxRestoreAttempts = 5

func addSnapshot(app *kingpin.Application) {
	cmd := app.Command("snapshot", "Print every object in force as YAML, as input for apply and restore.")
	conn := connectionFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error { return runSnapshot(c, os.Stdout) })
	})
}

func runSnapshot(c *operator.Client, w io.Writer) error {
	ctx := context.Background()
	s, err := c.Status(ctx)
	if err != nil {
		return withExitCode(err)
	}
	list, err := c.List(ctx, "")
	if err != nil {
		return withExitCode(err)
	}
	// The text is buffered so that a failure prints no partial snapshot.
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %d objects in force on entry %s at revision %d, %s\n",
		len(list), s.Entry, s.ConfigRevision, time.Now().UTC().Format(time.RFC3339))
	for _, o := range list {
		if err := writeObject(&b, o); err != nil {
			return err
		}
	}
	_, err = w.Write(b.Bytes())
	return err
}

// objectFile is an object in the form of a file. It has no version, which the store
// assigns.
type objectFile struct {
	Kind   api.Kind   `yaml:"kind"`
	Name   string     `yaml:"name"`
	Labels api.Labels `yaml:"labels,omitempty"`
	Spec   any        `yaml:"spec"`
}

func writeObject(w io.Writer, o *api.Object) error {
	data, err := json.Marshal(o.Spec)
	if err != nil {
		return err
	}
	file := objectFile{Kind: o.Kind, Name: o.Name, Labels: o.Labels}
	if err := json.Unmarshal(data, &file.Spec); err != nil {
		return err
	}
	fmt.Fprintln(w, "---")
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	if err := enc.Encode(file); err != nil {
		return err
	}
	return enc.Close()
}

func addRestore(app *kingpin.Application) {
	cmd := app.Command("restore", "Restore the objects in force from a snapshot. All of them are validated before any is written.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	file := cmd.Flag("file", "Snapshot, a YAML file.").Short('f').Required().String()
	prune := cmd.Flag("prune", "Delete the objects that are not in the snapshot.").Bool()
	dryRun := cmd.Flag("dry-run", "Write nothing; print what would change.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error {
			r := restore{client: c, output: *output, prune: *prune, dryRun: *dryRun}
			return r.run(*file)
		})
	})
}

// restore is one run of the restore command.
type restore struct {
	client        *operator.Client
	output        string
	prune, dryRun bool
}

// run applies the whole snapshot. If another operator changes an object
// concurrently, run applies the snapshot again to the objects then in force. It
// restores all objects or reports those that it did not.
func (r *restore) run(file string) error {
	var err error
	for range maxRestoreAttempts {
		if err = runApply(r.client, r.output, []string{file}, r.dryRun); !isConflict(err) {
			break
		}
	}
	if err != nil {
		return err
	}
	return r.pruneOthers(file)
}

func isConflict(err error) bool {
	var exit *exitError
	return errors.As(err, &exit) && exit.code == exitConflict
}

// pruneOthers deletes the objects that are not in the snapshot, at the versions in
// force now. It does nothing without --prune.
func (r *restore) pruneOthers(file string) error {
	if !r.prune {
		return nil
	}
	sources, err := readSources([]string{file})
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	wanted := map[api.Key]bool{}
	for _, s := range sources {
		wanted[s.Object.Key()] = true
	}
	list, err := r.client.List(context.Background(), "")
	if err != nil {
		return withExitCode(err)
	}
	for _, o := range list {
		if wanted[o.Key()] {
			continue
		}
		if err := r.remove(o); err != nil {
			return err
		}
	}
	return nil
}

func (r *restore) remove(o *api.Object) error {
	if r.dryRun {
		fmt.Println(o.Key(), "would be deleted")
		return nil
	}
	if err := r.client.Delete(context.Background(), o.Key(), o.Version); err != nil {
		return withExitCode(err)
	}
	fmt.Println(o.Key(), "deleted")
	return nil
}
