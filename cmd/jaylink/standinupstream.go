package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"jaylink/standin/upstream"
)

// addStandinUpstream adds the upstream that the soak runs as a process of its own. It ends with
// its standard input.
func addStandinUpstream(parent *kingpin.CmdClause) {
	cmd := parent.Command("upstream", "Upstream of a gateway, for the soak.").Hidden()
	listen := listenFlag(cmd)
	var s upstream.Server
	cmd.Flag("id", "ID of the upstream.").Required().StringVar(&s.ID)
	cmd.Flag("pace", "Time before each event and each plain answer.").Default("15ms").DurationVar(&s.Pace)
	cmd.Flag("undelimited", "Answer with neither a length nor chunks.").BoolVar(&s.Undelimited)
	cmd.Flag("gapped-ids", "Leave gaps between the IDs of events.").BoolVar(&s.GappedIDs)
	cmd.Flag("deadly", "Text in the body of a request that ends the process.").StringVar(&s.Deadly)
	cmd.Flag("deadly-part", "Part of a prompt that ends the process.").StringsVar(&s.DeadlyParts)
	cmd.Flag("first-run", "Number of the first run.").IntVar(&s.FirstRun)
	start := cmd.Flag("start", "Start time that the upstream states, in Unix milliseconds.").Required().Int64()
	records := cmd.Flag("records", "File to which a line for each request is appended.").Required().String()
	cmd.Action(func(*kingpin.ParseContext) error { return runUpstream(*listen, *records, *start, &s) })
}

func runUpstream(listen, records string, startMillis int64, properties *upstream.Server) error {
	file, err := os.OpenFile(records, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	properties.NamesRuns, properties.Records, properties.Exit = true, file, exitUpstream
	if err := properties.Listen(listen, startMillis); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}

// exitUpstream ends the process at once, as a crash does.
func exitUpstream(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "records can't be written:", err)
	}
	os.Exit(exitFailed)
}
