package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/operator"
)

func addStatus(app *kingpin.Application) {
	cmd := app.Command("status", "Print an entry's view of the fleet.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error { return runStatus(c, *output) })
	})
}

func runStatus(c *operator.Client, output string) error {
	s, err := c.Status(context.Background())
	if err != nil {
		return withExitCode(err)
	}
	if output != "table" {
		return printEncoded(output, s)
	}
	t := newTable()
	printZones(t, s.Zones)
	printEntries(t, s)
	printUpstreams(t, s.Upstreams)
	if err := t.Flush(); err != nil {
		return err
	}
	if len(s.Recent) > 0 {
		fmt.Println("\nLAST DECISIONS ABOUT THE FLEET")
		printDecisions(s.Recent)
	}
	return nil
}

func printZones(t io.Writer, zones []operator.ZoneStatus) {
	fmt.Fprintln(t, "ZONE\tENTRIES\tREVISION IN FORCE\tLAGGING")
	for _, z := range zones {
		lagging := "-"
		if len(z.Lagging) > 0 {
			lagging = strings.Join(z.Lagging, ", ")
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", z.AvailabilityZone, z.Entries, z.ConfigRevision, lagging)
	}
}

func printEntries(t *tabwriter.Writer, s operator.FleetStatus) {
	fmt.Fprintln(t, "\nENTRY\tZONE\tREVISION\tLEAVING\tIN FLIGHT")
	fmt.Fprintf(t, "%s (asked)\t%s\t%d\t%v\t%d\n", s.Entry, s.AvailabilityZone, s.ConfigRevision, s.Leaving, s.InFlight)
	for _, p := range s.Peers {
		fmt.Fprintf(t, "%s\t%s\t%d\t%v\t-\n", p.Name, p.AvailabilityZone, p.ConfigRevision, p.Leaving)
	}
}

func printUpstreams(t *tabwriter.Writer, upstreams []operator.UpstreamStatus) {
	fmt.Fprintln(t, "\nUPSTREAM\tZONE\tBUSY\tSLOTS\tLEAVING\tSUSPECT\tSIGNS")
	for _, u := range upstreams {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%v\t%v\t%s\n", u.Name, u.AvailabilityZone, u.Busy, u.Slots, u.Leaving, u.Suspect, strings.Join(u.Signs, "; "))
	}
}

func addDrain(app *kingpin.Application) {
	cmd := app.Command("drain", "Shut down an entry gracefully, as SIGTERM does, without aborting any request.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error { return runDrain(c, *output, conn.addresses[0]) })
	})
}

// drainResult is the JSON and YAML output of drain.
type drainResult struct {
	Entry string `json:"entry"`
	State string `json:"state"`
}

func runDrain(c *operator.Client, output, address string) error {
	if err := c.Drain(context.Background()); err != nil {
		return withExitCode(err)
	}
	if output != "table" {
		return printEncoded(output, drainResult{Entry: address, State: "leaving"})
	}
	fmt.Println(address, "is leaving")
	return nil
}
