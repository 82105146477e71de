package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/api"
	"jaylink/operator"
)

func addWatch(app *kingpin.Application) {
	cmd := app.Command("watch", "Print changes of the configuration in force on an entry until interrupted.")
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	interval := cmd.Flag("interval", "Polling interval.").Default("500ms").Duration()
	count := cmd.Flag("count", "Exit after this many changes; 0 means never.").Int()
	all := cmd.Flag("all", "Start with every object in force.").Bool()
	cmd.Action(func(*kingpin.ParseContext) error {
		return conn.withClient(func(c *operator.Client) error { return runWatch(c, *output, *interval, *count, *all) })
	})
}

func runWatch(c *operator.Client, output string, interval time.Duration, count int, all bool) error {
	var after uint64
	printed := map[api.Key]uint64{}
	first := !all
	fmt.Fprintln(os.Stderr, "watching", c.Address())
	for seen := 0; ; time.Sleep(interval) {
		list, err := c.Changes(context.Background(), after)
		if err != nil {
			return withExitCode(err)
		}
		for _, o := range list.Objects {
			known := printed[o.Key()] >= o.Version
			printed[o.Key()] = o.Version
			if first || known {
				continue
			}
			if err := printChange(output, o); err != nil {
				return err
			}
			if seen++; seen == count {
				return nil
			}
		}
		// Every change up to this revision has been received. Later ones may
		// arrive out of order.
		after = list.Revision
		first = false
	}
}

// printChange prints one changed object.
func printChange(output string, o *api.Object) error {
	if output != "table" {
		return printEncoded(output, o)
	}
	if o.Deleted {
		fmt.Printf("%s deleted version=%d\n", o.Key(), o.Version)
		return nil
	}
	fmt.Printf("%s version=%d written by %s: %s\n", o.Key(), o.Version, operatorName(o), formatLabels(o.Labels))
	return nil
}
