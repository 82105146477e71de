package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/entry"
	"jaylink/operator"
)

func addReport(app *kingpin.Application) {
	cmd := app.Command("report", "Print usage by customer and service, summed over entries. Each entry counts since its start.")
	conn, output := entriesFlags(cmd), outputFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		clients, err := conn.clients()
		if err != nil {
			return err
		}
		return runReport(clients, *output)
	})
}

func runReport(clients []*operator.Client, output string) error {
	var lists []operator.UsageList
	for _, c := range clients {
		list, err := c.Usage(context.Background())
		if err != nil {
			return withExitCode(err)
		}
		lists = append(lists, list)
	}
	sum := operator.MergeUsage(lists...)
	if output != "table" {
		return printEncoded(output, sum)
	}
	for _, list := range lists {
		fmt.Printf("entry %s counts since %s\n", list.Entry, list.Since.UTC().Format(time.RFC3339))
	}
	t := newTable()
	fmt.Fprintln(t, "CUSTOMER\tSERVICE\tACCEPTED\tANSWERED\tTOKENS\tREFUSED")
	for _, u := range sum {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", u.Customer, u.Service, u.Accepted, u.Answered, u.Tokens, formatRefused(u))
	}
	return t.Flush()
}

func formatRefused(u operator.Usage) string {
	var parts []string
	for _, why := range slices.Sorted(maps.Keys(u.Refused)) {
		parts = append(parts, fmt.Sprintf("%s=%d", why, u.Refused[why]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

func addCredential(app *kingpin.Application) {
	cmd := app.Command("credential", "Read a bearer token from standard input and print the term that matches it in a customer's selector.")
	cmd.Action(func(*kingpin.ParseContext) error { return runCredential(os.Stdin) })
}

// runCredential prints the hash of the token that it reads, never the token.
func runCredential(in io.Reader) error {
	line, err := bufio.NewReader(in).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	token := strings.TrimRight(line, "\r\n")
	if token == "" {
		return &exitError{exitBadInput, errors.New("standard input has no token")}
	}
	fmt.Println("credential=" + entry.Credential(token))
	return nil
}
