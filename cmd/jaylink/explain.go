package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/decision/route"
	"jaylink/internal/timeline"
	"jaylink/operator"
)

func addExplain(app *kingpin.Application) {
	cmd := app.Command("explain", "Print why a request was routed, refused, retried or moved, or what happened to an upstream. "+
		"An entry keeps only its latest decisions (setting record.decisions). With --logs, the log lines of gateways are searched instead.")
	id := cmd.Arg("request-id", "Request ID, from the response header Jaylink-Request-Id.").String()
	upstream := cmd.Flag("upstream", "Name of an upstream.").String()
	limit := cmd.Flag("limit", "Print at most this many of the newest decisions; 0 means all.").Default("50").Int()
	logs := cmd.Flag("logs", "Log file of a gateway, - for standard input. May be repeated.").Strings()
	version := cmd.Flag("configuration", "With --logs: when each gateway applied this version of the configuration.").Uint64()
	duties := cmd.Flag("duties", "With --logs: which gateway held the duties, and their results.").Bool()
	conn, output := entriesFlags(cmd), outputFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error {
		if len(*logs) > 0 {
			return explainLogs(*logs, timeline.Query{RequestID: *id, Upstream: *upstream, Version: *version, Duties: *duties})
		}
		if (*id == "") == (*upstream == "") {
			return &exitError{exitBadInput, errors.New("explain needs either a request ID or --upstream")}
		}
		q := operator.DecisionQuery{RequestID: *id, Upstream: *upstream, Limit: *limit}
		clients, err := conn.clients()
		if err != nil {
			return err
		}
		return runExplain(clients, *output, q)
	})
}

func runExplain(clients []*operator.Client, output string, q operator.DecisionQuery) error {
	var all []operator.Decision
	var since time.Time
	for _, c := range clients {
		list, err := c.Decisions(context.Background(), q)
		if err != nil {
			return withExitCode(err)
		}
		all = append(all, list.Items...)
		since = list.Since
	}
	if len(all) == 0 {
		return &exitError{exitBadInput, noDecisionsError(q, since)}
	}
	slices.SortStableFunc(all, func(a, b operator.Decision) int { return a.At.Compare(b.At) })
	if output != "table" {
		return printEncoded(output, all)
	}
	printDecisions(all)
	return nil
}

// noDecisionsError reports that no decision was found, and for a request also the
// entry that has the decisions.
func noDecisionsError(q operator.DecisionQuery, since time.Time) error {
	if q.Upstream != "" {
		return fmt.Errorf("no decision about upstream %s since %s", q.Upstream, since.Format(time.RFC3339))
	}
	_, entry, _ := strings.Cut(q.RequestID, ".")
	return fmt.Errorf("no decision about this request since %s; entry %q accepted it, ask that one with --entry",
		since.Format(time.RFC3339), entry)
}

// printDecisions prints one line per decision, followed by its candidates and by
// the number of upstreams that each filter excluded.
func printDecisions(list []operator.Decision) {
	for _, d := range list {
		fmt.Printf("%s %s %s%s\n", d.At.Format("15:04:05.000"), d.Entry, d.Kind, formatDecision(d))
		for _, c := range d.Candidates {
			fmt.Printf("    %s score=%.3f busy=%d slots=%d%s\n", c.Upstream, c.Score, c.Busy, c.Slots, formatScores(c.Parts))
		}
		for _, name := range slices.Sorted(maps.Keys(d.LeftOut)) {
			fmt.Printf("    left out by %s: %d\n", name, d.LeftOut[name])
		}
	}
}

func formatScores(parts []route.ScorerScore) string {
	var b strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&b, " %s=%.3f", p.Scorer, p.Score)
	}
	return b.String()
}

func formatDecision(d operator.Decision) string {
	var b strings.Builder
	add := func(key, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%s", key, value)
		}
	}
	add("request_id", d.RequestID)
	add("service", d.Service)
	add("customer", d.Customer)
	add("upstream", d.Upstream)
	add("peer", d.Peer)
	if d.Attempt > 0 {
		fmt.Fprintf(&b, " attempt=%d", d.Attempt)
	}
	add("reason", string(d.Reason))
	add("ran", string(d.Ran))
	if d.Detail != "" {
		b.WriteString(" " + d.Detail)
	}
	return b.String()
}
