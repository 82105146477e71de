package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"jaylink/internal/timeline"
)

// explainLogs prints the lines of log files that match a query.
func explainLogs(files []string, q timeline.Query) error {
	if q == (timeline.Query{}) {
		return &exitError{exitBadInput, errors.New("explain --logs needs a request ID, --upstream, --configuration or --duties")}
	}
	var all []timeline.Line
	for _, file := range files {
		lines, err := readLogs(file)
		if err != nil {
			return &exitError{exitBadInput, err}
		}
		all = append(all, lines...)
	}
	found := timeline.Explain(all, q)
	if len(found) == 0 {
		return &exitError{exitBadInput, fmt.Errorf("none of %d log lines matches", len(all))}
	}
	for _, l := range found {
		fmt.Println(l)
	}
	return nil
}

func readLogs(file string) ([]timeline.Line, error) {
	in := io.ReadCloser(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		in = f
	}
	defer in.Close()
	lines, skipped, err := timeline.Read(in)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "jaylink: %s: skipped %d lines that are not log lines\n", file, skipped)
	}
	return lines, nil
}
