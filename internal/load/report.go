package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jaylink/decision/reason"
	"jaylink/internal/workload"
)

const maxLatency = int64(time.Hour / time.Microsecond)

// Report has what the callers observed, by stream name.
type Report struct {
	Streams map[string]*Stream
}

// Stream has the counts and latencies of one stream. Within counts the answers that met
// all latency targets. First is the time to the first token, Between the mean time
// between tokens, and Whole the time to the complete answer, in microseconds.
type Stream struct {
	Sent, Answered, Within, Broken, NotSent int
	Refused                                 map[reason.Reason]int
	First, Between, Whole                   *hdrhistogram.Histogram
}

func newReport() *Report { return &Report{Streams: map[string]*Stream{}} }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, 3) }

func (r *Report) add(w *workload.Stream, o outcome) {
	s := r.Streams[w.Name]
	if s == nil {
		s = &Stream{Refused: map[reason.Reason]int{}, First: newHistogram(), Between: newHistogram(), Whole: newHistogram()}
		r.Streams[w.Name] = s
	}
	switch {
	case o.notSent:
		s.NotSent++
		return
	case o.interrupted:
		s.Broken++
	case o.refused != "":
		s.Refused[o.refused]++
	default:
		s.addAnswered(w, o)
	}
	s.Sent++
}

func (s *Stream) addAnswered(w *workload.Stream, o outcome) {
	s.Answered++
	between := time.Duration(0)
	if o.tokens > 1 {
		between = (o.whole - o.first) / time.Duration(o.tokens-1)
		record(s.Between, between)
	}
	if o.first > 0 {
		record(s.First, o.first)
	}
	record(s.Whole, o.whole)
	late := exceeds(o.whole, w.Whole.Std()) || exceeds(o.first, w.FirstToken.Std()) || exceeds(between, w.BetweenTokens.Std())
	if !late {
		s.Within++
	}
}

// exceeds reports whether a value is above its target; a target of 0 means none.
func exceeds(value, target time.Duration) bool { return target > 0 && value > target }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

// Write prints the report as a table with latencies in milliseconds.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STREAM\tSENT\tANSWERED\tWITHIN\tREFUSED\tBROKEN\tNOT SENT\tFIRST P50\tP99\tBETWEEN P95\tWHOLE P50\tP99")
	for _, name := range slices.Sorted(maps.Keys(r.Streams)) {
		s := r.Streams[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, s.Sent, s.Answered, s.Within,
			s.refusals(), s.Broken, s.NotSent, ms(s.First, 50), ms(s.First, 99), ms(s.Between, 95), ms(s.Whole, 50), ms(s.Whole, 99))
	}
	for _, name := range slices.Sorted(maps.Keys(r.Streams)) {
		for why, n := range r.Streams[name].Refused {
			fmt.Fprintf(t, "%s refused %s: %d\n", name, why, n)
		}
	}
	return t.Flush()
}

func (s *Stream) refusals() int {
	n := 0
	for _, count := range s.Refused {
		n += count
	}
	return n
}

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}
