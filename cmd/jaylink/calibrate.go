package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
)

func addCalibrate(app *kingpin.Application) {
	cmd := app.Command("calibrate", "Compare predicted with actual times to the first event and pauses in logs of gateways.")
	files := cmd.Arg("file", "Log file of a gateway; - is standard input, which is the default.").Strings()
	output := outputFlag(cmd)
	cmd.Action(func(*kingpin.ParseContext) error { return runCalibrate(*files, *output) })
}

func runCalibrate(files []string, output string) error {
	if len(files) == 0 {
		files = []string{"-"}
	}
	c := newCalibration()
	for _, file := range files {
		if err := c.readFile(file); err != nil {
			return &exitError{exitBadInput, fmt.Errorf("%s: %w", file, err)}
		}
	}
	if output != "table" {
		return printEncoded(output, c.report())
	}
	return c.report().print()
}

// rangeEnds are the ends of the ranges of predicted times in milliseconds; the last range
// has none.
var rangeEnds = []float64{50, 100, 200, 400, 800, 1600}

// Limits of what docs/HARD-LOAD.md accepts.
const (
	minMedian, maxMedian       = 0.8, 1.25
	maxP90                     = 2
	minBelowHigh, maxBelowHigh = 0.85, 0.95
)

// allRoutes stands for all routes together.
const allRoutes = ""

// calibrationKey identifies a row of the table.
type calibrationKey struct {
	figure, route string
	// predicted is the index of the range of predicted times, or -1 for all.
	predicted int
}

// calibrationRow collects the samples of a row.
type calibrationRow struct {
	ratios       []float64
	highs, below int
}

// calibration compares predictions with what followed.
type calibration struct {
	rows map[calibrationKey]*calibrationRow
	// skipped counts lines that are not about a request, and excluded requests that were
	// not answered at the first attempt or without a prediction.
	skipped, excluded, used int
}

func newCalibration() *calibration { return &calibration{rows: map[calibrationKey]*calibrationRow{}} }

// requestLine has the fields of a gateway's log line that are compared.
type requestLine struct {
	Message            string  `json:"msg"`
	Route              string  `json:"route"`
	Outcome            string  `json:"outcome"`
	Attempts           int     `json:"attempts"`
	PredictedMs        float64 `json:"predicted_ms"`
	PredictedHighMs    float64 `json:"predicted_high_ms"`
	FirstMs            float64 `json:"first_ms"`
	PredictedPauseMs   float64 `json:"predicted_pause_ms"`
	PredictedPauseHigh float64 `json:"predicted_pause_high_ms"`
	PauseMs            float64 `json:"pause_ms"`
}

func (c *calibration) readFile(file string) error {
	if file == "-" {
		return c.read(os.Stdin)
	}
	in, err := os.Open(file)
	if err != nil {
		return err
	}
	defer in.Close()
	return c.read(in)
}

// maxCalibrationLine is the maximum length of a line in bytes; longer ones are skipped.
const maxCalibrationLine = 1 << 20

// read reads log lines. Text before the first brace of a line is ignored.
func (c *calibration) read(in io.Reader) error {
	r := bufio.NewReaderSize(in, maxCalibrationLine)
	for {
		text, err := r.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = r.ReadSlice('\n')
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(text) > 0 {
			c.add(text, tooLong)
		}
		if err != nil {
			return nil
		}
	}
}

// add counts one line.
func (c *calibration) add(text []byte, tooLong bool) {
	at := bytes.IndexByte(text, '{')
	var line requestLine
	if tooLong || at < 0 || json.Unmarshal(text[at:], &line) != nil || line.Message != "request" {
		c.skipped++
		return
	}
	if line.Outcome != "answered" || line.Attempts != 1 || !(line.PredictedMs > 0 && line.FirstMs > 0) && !(line.PredictedPauseMs > 0 && line.PauseMs > 0) {
		c.excluded++
		return
	}
	c.used++
	c.compare("first event", line.Route, line.PredictedMs, line.PredictedHighMs, line.FirstMs)
	c.compare("pause", line.Route, line.PredictedPauseMs, line.PredictedPauseHigh, line.PauseMs)
}

// compare adds a predicted and an actual time to the rows that they belong to.
func (c *calibration) compare(figure, route string, predicted, high, actual float64) {
	if !(predicted > 0 && actual > 0) {
		return
	}
	at, _ := slices.BinarySearchFunc(rangeEnds, predicted, func(end, p float64) int {
		if end <= p {
			return -1
		}
		return 1
	})
	keys := []calibrationKey{{figure, allRoutes, -1}, {figure, allRoutes, at}}
	if route != allRoutes {
		keys = append(keys, calibrationKey{figure, route, -1}, calibrationKey{figure, route, at})
	}
	for _, key := range keys {
		row := c.rows[key]
		if row == nil {
			row = &calibrationRow{}
			c.rows[key] = row
		}
		row.ratios = append(row.ratios, actual/predicted)
		if high > 0 {
			row.highs++
			if actual <= high {
				row.below++
			}
		}
	}
}

// calibrationReport is the table of calibrate.
type calibrationReport struct {
	Requests int                `json:"requests"`
	Excluded int                `json:"excluded_requests"`
	Skipped  int                `json:"skipped_lines"`
	Rows     []calibrationEntry `json:"rows"`
}

// calibrationEntry is a row of the table. Ratios are those of actual to predicted times.
type calibrationEntry struct {
	Figure    string  `json:"figure"`
	Route     string  `json:"route"`
	Predicted string  `json:"predicted_ms"`
	Requests  int     `json:"requests"`
	Median    float64 `json:"median"`
	P90       float64 `json:"p90"`
	// BelowHigh is the share of actual times up to the high quantile. It is absent if no
	// line states that quantile.
	BelowHigh *float64 `json:"below_high,omitempty"`
	Accepted  bool     `json:"accepted"`
}

func (c *calibration) report() *calibrationReport {
	r := &calibrationReport{Requests: c.used, Excluded: c.excluded, Skipped: c.skipped}
	// The rows for all routes come first.
	keys := slices.SortedFunc(maps.Keys(c.rows), func(a, b calibrationKey) int {
		return cmp.Or(cmp.Compare(a.figure, b.figure), cmp.Compare(a.route, b.route), cmp.Compare(a.predicted, b.predicted))
	})
	for _, key := range keys {
		row := c.rows[key]
		slices.Sort(row.ratios)
		e := calibrationEntry{
			Figure: key.figure, Route: cmp.Or(key.route, "all"), Predicted: rangeName(key.predicted), Requests: len(row.ratios),
			Median: ratioAt(row.ratios, 0.5), P90: ratioAt(row.ratios, 0.9),
		}
		e.Accepted = e.Median >= minMedian && e.Median <= maxMedian && e.P90 <= maxP90
		if row.highs > 0 {
			share := float64(row.below) / float64(row.highs)
			e.BelowHigh = &share
			e.Accepted = e.Accepted && share >= minBelowHigh && share <= maxBelowHigh
		}
		r.Rows = append(r.Rows, e)
	}
	return r
}

func rangeName(i int) string {
	switch {
	case i < 0:
		return "all"
	case i == 0:
		return fmt.Sprintf("under %g", rangeEnds[0])
	case i == len(rangeEnds):
		return fmt.Sprintf("%g and more", rangeEnds[i-1])
	}
	return fmt.Sprintf("%g to %g", rangeEnds[i-1], rangeEnds[i])
}

// ratioAt returns the quantile of a sorted list, with the nearest rank.
func ratioAt(sorted []float64, q float64) float64 {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func (r *calibrationReport) print() error {
	t := newTable()
	fmt.Fprintln(t, "FIGURE\tROUTE\tPREDICTED MS\tREQUESTS\tMEDIAN\tP90\tBELOW HIGH\tACCEPTED")
	for _, e := range r.Rows {
		below := "-"
		if e.BelowHigh != nil {
			below = fmt.Sprintf("%.3f", *e.BelowHigh)
		}
		accepted := "no"
		if e.Accepted {
			accepted = "yes"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.2f\t%.2f\t%s\t%s\n", e.Figure, e.Route, e.Predicted, e.Requests, e.Median, e.P90, below, accepted)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Printf("requests=%d excluded=%d skipped_lines=%d\n", r.Requests, r.Excluded, r.Skipped)
	return nil
}
