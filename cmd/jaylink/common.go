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

// connection has the entries that a command calls and the operator's identity.
type connection struct {
	addresses []string
	operator  string
	tokenFile string
}

// connectionFlags adds the flags of a command that calls one entry.
func connectionFlags(cmd *kingpin.CmdClause) *connection {
	c := &connection{addresses: []string{""}}
	cmd.Flag("entry", "Operator port of any entry, ip:port.").
		Envar("JAYLINK_ENTRY").Default(defaultEntry).StringVar(&c.addresses[0])
	c.identityFlags(cmd)
	return c
}

// defaultEntry is the default operator address of commands.
const defaultEntry = "127.0.0.1:8081"

// entriesFlags adds the flags of a command that calls several entries.
func entriesFlags(cmd *kingpin.CmdClause) *connection {
	c := &connection{}
	cmd.Flag("entry", "Operator port of an entry to query, ip:port. May be repeated.").
		Envar("JAYLINK_ENTRY").Default(defaultEntry).StringsVar(&c.addresses)
	c.identityFlags(cmd)
	return c
}

func (c *connection) identityFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("operator", "Operator name to record with each write, for entries that don't require a token. Default: the user's name.").
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

// clients returns one client per entry.
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

// withClient calls f with the client of the command's entry.
func (c *connection) withClient(f func(*operator.Client) error) error {
	clients, err := c.clients()
	if err != nil {
		return err
	}
	return f(clients[0])
}

// outputFlag adds the flag for the output format.
func outputFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("output", "Output format: table, json or yaml.").Short('o').Default("table").Enum("table", "json", "yaml")
}

// printEncoded prints a value as JSON or YAML.
func printEncoded(format string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	if format == "json" {
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

// withExitCode adds the command's exit code to the error of a call.
func withExitCode(err error) error {
	var failed *operator.StatusError
	if !errors.As(err, &failed) {
		return err
	}
	switch failed.Status {
	case http.StatusConflict:
		return &exitError{exitConflict, errors.Join(err, conflictDetail(nil, failed.Failure.Current))}
	case http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound, http.StatusUnauthorized:
		return &exitError{exitBadInput, err}
	case http.StatusServiceUnavailable:
		return &exitError{exitUnknown, err}
	}
	return err
}

// conflictDetail describes how the current object differs from the one that the
// command read; seen may be nil.
func conflictDetail(seen, current *api.Object) error {
	if current == nil {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s is at version %d, written by %s", current.Key(), current.Version, operatorName(current))
	if seen != nil {
		writeChanges(&b, api.Diff(seen, current))
	}
	return errors.New(b.String())
}

func operatorName(o *api.Object) string {
	if o.Operator == "" {
		return "an unnamed operator"
	}
	return o.Operator
}

// writeChanges writes each change on an indented line of its own.
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

// parseKind returns the kind for a singular or plural name in any case.
func parseKind(name string) (api.Kind, error) {
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
