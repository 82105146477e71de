package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/api"
	"jaylink/operator"
)

func addGet(app *kingpin.Application) {
	cmd := app.Command("get", "Print the objects in force on an entry.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	kind := cmd.Arg("kind", "services, customers, policies or upstreams; default: all kinds.").String()
	name := cmd.Arg("name", "Name of one object.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error { return runGet(c, *output, *kind, *name) })
	})
}

func runGet(c *operator.Client, output, kindName, name string) error {
	ctx := context.Background()
	var kind api.Kind
	var err error
	if kindName != "" {
		if kind, err = parseKind(kindName); err != nil {
			return err
		}
	}
	var list []*api.Object
	if name != "" {
		o, err := c.Get(ctx, api.Key{Kind: kind, Name: name})
		if err != nil {
			return withExitCode(err)
		}
		list = []*api.Object{o}
	} else if list, err = c.List(ctx, kind); err != nil {
		return withExitCode(err)
	}
	if output != "table" {
		return printEncoded(output, list)
	}
	t := newTable()
	fmt.Fprintln(t, "KIND\tNAME\tVERSION\tWRITTEN BY\tLABELS")
	for _, o := range list {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", o.Kind, o.Name, o.Version, operatorName(o), formatLabels(o.Labels))
	}
	return t.Flush()
}

func formatLabels(l api.Labels) string {
	data, err := json.Marshal(l)
	if err != nil || len(l) == 0 {
		return "-"
	}
	return strings.NewReplacer(`"`, "", "{", "", "}", "", ":", "=").Replace(string(data))
}

func addDelete(app *kingpin.Application) {
	cmd := app.Command("delete", "Delete one object.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	kind := cmd.Arg("kind", "service, customer, policy or upstream.").Required().String()
	name := cmd.Arg("name", "Name of the object.").Required().String()
	version := cmd.Flag("at-version", "Delete only this version; 0 means the latest one that the entry knows.").Uint64()
	cmd.Action(func(*kingpin.ParseContext) error {
		k, err := parseKind(*kind)
		if err != nil {
			return err
		}
		key := api.Key{Kind: k, Name: *name}
		return conn.withClient(func(c *operator.Client) error { return runDelete(c, *output, key, *version) })
	})
}

func runDelete(c *operator.Client, output string, key api.Key, version uint64) error {
	if err := c.Delete(context.Background(), key, version); err != nil {
		return withExitCode(err)
	}
	if output != "table" {
		return printEncoded(output, key)
	}
	fmt.Println(key, "deleted")
	return nil
}

func addLabel(app *kingpin.Application) {
	cmd := app.Command("label", "Change labels of one object: KEY=VALUE sets, KEY- removes.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	kind := cmd.Arg("kind", "service, customer, policy or upstream.").Required().String()
	name := cmd.Arg("name", "Name of the object.").Required().String()
	changes := cmd.Arg("change", "KEY=VALUE or KEY-.").Required().Strings()
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error { return runLabel(c, *output, *kind, *name, *changes) })
	})
}

func runLabel(c *operator.Client, output, kindName, name string, changes []string) error {
	kind, err := parseKind(kindName)
	if err != nil {
		return err
	}
	ctx := context.Background()
	key := api.Key{Kind: kind, Name: name}
	seen, err := c.Get(ctx, key)
	if err != nil {
		return withExitCode(err)
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
	var failed *operator.StatusError
	if errors.As(err, &failed) && failed.Status == http.StatusConflict {
		return &exitError{exitConflict, errors.Join(err, conflictDetail(seen, failed.Failure.Current))}
	}
	if err != nil {
		return withExitCode(err)
	}
	if output != "table" {
		return printEncoded(output, o)
	}
	fmt.Printf("%s accepted at version %d: %s\n", key, o.Version, formatLabels(o.Labels))
	return nil
}
