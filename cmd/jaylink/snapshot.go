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

// restoreRounds bounds how often restore begins again after another operator
// was faster.
const restoreRounds = 5

func addSnapshot(app *kingpin.Application) {
	cmd := app.Command("snapshot", "Print every object in force as YAML that apply and restore read.")
	conn := connectionFlags(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.do(func(c *operator.Client) error { return runSnapshot(c, os.Stdout) })
	})
}

func runSnapshot(c *operator.Client, w io.Writer) error {
	ctx := context.Background()
	s, err := c.Status(ctx)
	if err != nil {
		return statusExit(err)
	}
	list, err := c.List(ctx, "")
	if err != nil {
		return statusExit(err)
	}
	// The text is built first: a failure prints no half snapshot.
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

// objectFile is an object as a file has it; the version belongs to the store.
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
	cmd := app.Command("restore", "Make the objects in force equal to a snapshot. All is checked before anything is written.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	file := cmd.Flag("file", "Snapshot, a YAML file.").Short('f').Required().String()
	prune := cmd.Flag("prune", "Delete the objects that the snapshot lacks.").Bool()
	dryRun := cmd.Flag("dry-run", "Write nothing; print what would change.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.do(func(c *operator.Client) error {
			r := restore{client: c, output: *output, prune: *prune, dryRun: *dryRun}
			return r.run(*file)
		})
	})
}

// restore is one run of the command.
type restore struct {
	client        *operator.Client
	output        string
	prune, dryRun bool
}

// run applies the snapshot as a whole. If another operator was faster with an
// object it begins again from what is in force then, so that it ends with all
// objects restored, or says which are not.
func (r *restore) run(file string) error {
	var err error
	for range restoreRounds {
		if err = runApply(r.client, r.output, []string{file}, r.dryRun); !isConflict(err) {
			break
		}
	}
	if err != nil {
		return err
	}
	return r.removeOthers(file)
}

func isConflict(err error) bool {
	var exit *exitError
	return errors.As(err, &exit) && exit.code == exitConflict
}

// removeOthers deletes the objects that the snapshot lacks, at the versions
// that are in force now.
func (r *restore) removeOthers(file string) error {
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
		return statusExit(err)
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
		return statusExit(err)
	}
	fmt.Println(o.Key(), "deleted")
	return nil
}
