package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"gopkg.in/yaml.v3"

	"jaylink/api"
	"jaylink/operator"
)

// connection says which entries a command talks to and for whom.
type connection struct {
	addresses []string
	operator  string
	tokenFile string
}

// connectionFlags adds the flags of every command that talks to an entry.
func connectionFlags(cmd *kingpin.CmdClause) *connection {
	c := &connection{addresses: []string{""}}
	cmd.Flag("entry", "Operator port of any entry, ip:port.").
		Envar("JAYLINK_ENTRY").Default(defaultEntry).StringVar(&c.addresses[0])
	c.identityFlags(cmd)
	return c
}

// defaultEntry is the entry that commands talk to.
const defaultEntry = "127.0.0.1:8081"

// entriesFlags is connectionFlags for commands that ask several entries.
func entriesFlags(cmd *kingpin.CmdClause) *connection {
	c := &connection{}
	cmd.Flag("entry", "Operator ports of the entries to ask, ip:port. May be repeated.").
		Envar("JAYLINK_ENTRY").Default(defaultEntry).StringsVar(&c.addresses)
	c.identityFlags(cmd)
	return c
}

func (c *connection) identityFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("operator", "Name that is kept with what is written, where entries take it unproved. Default: the user's name.").
		Envar("JAYLINK_OPERATOR").Default(userName()).StringVar(&c.operator)
	cmd.Flag("token-file", "File with the operator's token.").Envar("JAYLINK_TOKEN_FILE").StringVar(&c.tokenFile)
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// clients returns a client for each entry.
func (c *connection) clients() ([]*operator.Client, error) {
	var token string
	if c.tokenFile != "" {
		data, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, &exitError{exitBadInput, err}
		}
		token = strings.TrimSpace(string(data))
	}
	var out []*operator.Client
	for _, address := range c.addresses {
		client := operator.NewClient(address)
		client.Operator, client.Token = c.operator, token
		out = append(out, client)
	}
	return out, nil
}

// do runs a command with the client of its entry.
func (c *connection) do(f func(*operator.Client) error) error {
	clients, err := c.clients()
	if err != nil {
		return err
	}
	return f(clients[0])
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
		return &exitError{exitConflict, errors.Join(err, stale(nil, failed.Failure.Current))}
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound, http.StatusUnauthorized:
		return &exitError{exitBadInput, err}
	case http.StatusServiceUnavailable:
		return &exitError{exitUnknown, err}
	}
	return err
}

// stale says what another operator made of an object; seen may be nil.
func stale(seen, current *api.Object) error {
	if current == nil {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s is at version %d, written by %s", current.Key(), current.Version, writer(current))
	if seen != nil {
		writeChanges(&b, api.Diff(seen, current))
	}
	return errors.New(b.String())
}

func writer(o *api.Object) string {
	if o.Operator == "" {
		return "an unnamed operator"
	}
	return o.Operator
}

// writeChanges writes a line a change, indented.
func writeChanges(w io.Writer, changes []api.Change) {
	for _, c := range changes {
		switch {
		case c.From == "":
			fmt.Fprintf(w, "\n    %s: %s added", c.Field, c.To)
		case c.To == "":
			fmt.Fprintf(w, "\n    %s: %s removed", c.Field, c.From)
		default:
			fmt.Fprintf(w, "\n    %s: %s -> %s", c.Field, c.From, c.To)
		}
	}
}

// kindNamed maps what an operator types to a kind.
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
