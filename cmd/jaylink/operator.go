package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"gopkg.in/yaml.v3"

	"jaylink/api"
	"jaylink/operator"
)

// entryFlag adds the flag that says which entry a command talks to.
func entryFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("entry", "Operator port of any entry, ip:port.").
		Envar("JAYLINK_ENTRY").Default("127.0.0.1:8081").String()
}

// outputFlag adds the flag that chooses the output form.
func outputFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("output", "Output form: table, json or yaml.").Short('o').Default("table").Enum("table", "json", "yaml")
}

// printAs writes a value as JSON or YAML.
func printAs(form string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	if form == "json" {
		fmt.Println(string(data))
		return nil
	}
	var plain any
	if err := json.Unmarshal(data, &plain); err != nil {
		return err
	}
	enc := yaml.NewEncoder(os.Stdout)
	enc.SetIndent(2)
	return enc.Encode(plain)
}

func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }

// statusExit turns a refused call into the command's exit code.
func statusExit(err error) error {
	var failed *operator.StatusError
	if !errors.As(err, &failed) {
		return err
	}
	switch failed.Status {
	case http.StatusConflict:
		return &exitError{exitConflict, err}
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound:
		return &exitError{exitBadInput, err}
	case http.StatusServiceUnavailable:
		return &exitError{exitUnknown, err}
	}
	return err
}

// kindNames maps what an operator types to a kind.
func kindNamed(name string) (api.Kind, error) {
	singular := strings.TrimSuffix(strings.ToLower(name), "s")
	if strings.HasSuffix(singular, "ie") {
		singular = strings.TrimSuffix(singular, "ie") + "y"
	}
	for _, kind := range api.ConfigKinds {
		if strings.ToLower(string(kind)) == singular {
			return kind, nil
		}
	}
	return "", &exitError{exitBadInput, api.UnknownKindError{Kind: api.Kind(name)}}
}

func addGet(app *kingpin.Application) {
	cmd := app.Command("get", "Print objects as they are in force on an entry.")
	address, output := entryFlag(cmd), outputFlag(cmd)
	kind := cmd.Arg("kind", "services, customers, policies or upstreams; all kinds if left out.").String()
	name := cmd.Arg("name", "Name of one object.").String()
	cmd.Action(func(*kingpin.ParseContext) error { return runGet(*address, *output, *kind, *name) })
}

func runGet(address, output, kindName, name string) error {
	ctx, c := context.Background(), operator.NewClient(address)
	var kind api.Kind
	var err error
	if kindName != "" {
		if kind, err = kindNamed(kindName); err != nil {
			return err
		}
	}
	var list []*api.Object
	if name != "" {
		o, err := c.Get(ctx, api.Key{Kind: kind, Name: name})
		if err != nil {
			return statusExit(err)
		}
		list = []*api.Object{o}
	} else if list, err = c.List(ctx, kind); err != nil {
		return statusExit(err)
	}
	if output != "table" {
		return printAs(output, list)
	}
	t := newTable()
	fmt.Fprintln(t, "KIND\tNAME\tVERSION\tLABELS")
	for _, o := range list {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\n", o.Kind, o.Name, o.Version, labelText(o.Labels))
	}
	return t.Flush()
}

func labelText(l api.Labels) string {
	data, err := json.Marshal(l)
	if err != nil || len(l) == 0 {
		return "-"
	}
	return strings.NewReplacer(`"`, "", "{", "", "}", "", ":", "=").Replace(string(data))
}

func addDelete(app *kingpin.Application) {
	cmd := app.Command("delete", "Delete one object.")
	address := entryFlag(cmd)
	kind := cmd.Arg("kind", "service, customer, policy or upstream.").Required().String()
	name := cmd.Arg("name", "Name of the object.").Required().String()
	version := cmd.Flag("at-version", "Delete only this version; 0 means the newest one the entry knows.").Uint64()
	cmd.Action(func(*kingpin.ParseContext) error {
		k, err := kindNamed(*kind)
		if err != nil {
			return err
		}
		key := api.Key{Kind: k, Name: *name}
		if err := operator.NewClient(*address).Delete(context.Background(), key, *version); err != nil {
			return statusExit(err)
		}
		fmt.Println(key, "deleted")
		return nil
	})
}

func addLabel(app *kingpin.Application) {
	cmd := app.Command("label", "Change labels of one object: KEY=VALUE sets, KEY- removes.")
	address := entryFlag(cmd)
	kind := cmd.Arg("kind", "service, customer, policy or upstream.").Required().String()
	name := cmd.Arg("name", "Name of the object.").Required().String()
	changes := cmd.Arg("change", "KEY=VALUE or KEY-.").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error { return runLabel(*address, *kind, *name, *changes) })
}

func runLabel(address, kindName, name string, changes []string) error {
	kind, err := kindNamed(kindName)
	if err != nil {
		return err
	}
	ctx, c := context.Background(), operator.NewClient(address)
	key := api.Key{Kind: kind, Name: name}
	seen, err := c.Get(ctx, key)
	if err != nil {
		return statusExit(err)
	}
	req := operator.LabelRequest{Set: api.Labels{}, Expect: seen.Labels, Version: seen.Version}
	for _, change := range changes {
		if k, v, ok := strings.Cut(change, "="); ok {
			req.Set[k] = v
		} else if k, ok := strings.CutSuffix(change, "-"); ok {
			req.Remove = append(req.Remove, k)
		} else {
			return &exitError{exitBadInput, fmt.Errorf("%q: want KEY=VALUE or KEY-", change)}
		}
	}
	o, err := c.Label(ctx, key, req)
	if err != nil {
		return statusExit(err)
	}
	fmt.Printf("%s accepted at version %d: %s\n", key, o.Version, labelText(o.Labels))
	return nil
}

func addStatus(app *kingpin.Application) {
	cmd := app.Command("status", "Print what an entry knows about the fleet.")
	address, output := entryFlag(cmd), outputFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return runStatus(*address, *output) })
}

func runStatus(address, output string) error {
	s, err := operator.NewClient(address).Status(context.Background())
	if err != nil {
		return statusExit(err)
	}
	if output != "table" {
		return printAs(output, s)
	}
	t := newTable()
	fmt.Fprintln(t, "ENTRY\tZONE\tREVISION\tLEAVING")
	fmt.Fprintf(t, "%s (asked)\t%s\t%d\t%v\n", s.Entry, s.AvailabilityZone, s.ConfigRevision, s.Leaving)
	for _, p := range s.Peers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%v\n", p.Name, p.AvailabilityZone, p.ConfigRevision, p.Leaving)
	}
	fmt.Fprintln(t, "\nUPSTREAM\tZONE\tBUSY\tSLOTS\tLEAVING\tSUSPECT")
	for _, u := range s.Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%v\t%v\n", u.Name, u.AvailabilityZone, u.Busy, u.Slots, u.Leaving, u.Suspect)
	}
	return t.Flush()
}
