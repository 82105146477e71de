// Package metricstext writes a metrics registry in the Prometheus text format.
package metricstext

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// Handler serves a registry.
func Handler(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		// The status is already sent, so a failed write can't be reported here.
		_ = Write(w, registry)
	}
}

// Write writes all metrics, sorted by name. For example, the counter
// "request.refused.queue_full" is written as
// jaylink_request_refused_total{reason="queue_full"}.
func Write(w io.Writer, registry metrics.Registry) error {
	all := map[string]any{}
	registry.Each(func(name string, m any) { all[name] = m })
	lastFamily := ""
	for _, name := range slices.Sorted(maps.Keys(all)) {
		family, labels := textName(name)
		kind, samples := textSamples(all[name])
		if kind == "counter" {
			family += "_total"
		}
		if family != lastFamily {
			if _, err := fmt.Fprintf(w, "# TYPE %s %s\n", family, kind); err != nil {
				return err
			}
			lastFamily = family
		}
		for _, s := range samples {
			if _, err := fmt.Fprintf(w, "%s%s%s %v\n", family, s.suffix, formatLabels(labels, s.label), s.value); err != nil {
				return err
			}
		}
	}
	return nil
}

// labelSeparator separates a metric's name and its labels in the registry.
const labelSeparator = "|"

// Labelled returns the name under which a metric with labels is registered.
func Labelled(name string, pairs ...string) string {
	for i := 0; i+1 < len(pairs); i += 2 {
		name += fmt.Sprintf("%s%s=%q", labelSeparator, pairs[i], pairs[i+1])
	}
	return name
}

// textName splits a registered name into a metric family and its labels. A third
// dot-separated part of the name becomes the label "reason".
func textName(name string) (family, label string) {
	if name, labels, ok := strings.Cut(name, labelSeparator); ok {
		return "jaylink_" + strings.ReplaceAll(name, ".", "_"), strings.ReplaceAll(labels, labelSeparator, ",")
	}
	parts := strings.SplitN(name, ".", 3)
	if len(parts) == 3 {
		label = fmt.Sprintf("reason=%q", parts[2])
		parts = parts[:2]
	}
	return "jaylink_" + strings.Join(parts, "_"), label
}

func formatLabels(labels ...string) string {
	labels = slices.DeleteFunc(labels, func(l string) bool { return l == "" })
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}

// textSample is one sample line of a metric.
type textSample struct {
	suffix, label string
	value         any
}

// textQuantiles are the quantiles that are written for a distribution.
var textQuantiles = []float64{0.5, 0.95, 0.99}

func textSamples(m any) (kind string, samples []textSample) {
	switch m := m.(type) {
	case metrics.Counter:
		return "counter", []textSample{{value: m.Count()}}
	case metrics.Gauge:
		return "gauge", []textSample{{value: m.Value()}}
	case metrics.GaugeFloat64:
		return "gauge", []textSample{{value: m.Value()}}
	case metrics.Meter:
		return "counter", []textSample{{value: m.Count()}}
	case metrics.Histogram:
		s := m.Snapshot()
		return "summary", summary(s.Percentiles(textQuantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		return "summary", summary(s.Percentiles(textQuantiles), s.Sum(), s.Count())
	}
	return "untyped", nil
}

func summary(values []float64, sum, count int64) []textSample {
	var out []textSample
	for i, q := range textQuantiles {
		out = append(out, textSample{label: fmt.Sprintf("quantile=\"%g\"", q), value: values[i]})
	}
	return append(out, textSample{suffix: "_sum", value: sum}, textSample{suffix: "_count", value: count})
}
