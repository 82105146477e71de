package scaling

import (
	"math"
	"slices"
	"time"
)

// EntryWork is the work that the requests of one entry bring to the upstreams of a service.
type EntryWork struct {
	// TokensPerSecond is the rate of prompt tokens that the upstreams have to process.
	TokensPerSecond float64
	// MsPerToken is the time that an upstream takes for a token, or 0 if the entry has too
	// few samples.
	MsPerToken float64
}

// Limits of what an entry can report, so that a false report has a bounded effect.
const (
	maxTokensPerSecond = 1e7
	maxMsPerToken      = 1
)

// reportLifetime is how long the report of an entry that has fallen silent counts.
const reportLifetime = 10 * time.Second

// Forecast adds up what all entries report for a service. One entry alone sees too few requests
// of a large fleet to know their mean size and the speed of the upstreams. The zero value
// is ready to use. It is not safe for concurrent use.
type Forecast struct {
	reports map[string]workReport
}

type workReport struct {
	EntryWork
	at time.Time
}

// Report records what an entry reports. Values that are not finite or negative count as 0.
func (f *Forecast) Report(now time.Time, entry string, w EntryWork) {
	if f.reports == nil {
		f.reports = map[string]workReport{}
	}
	w.TokensPerSecond = bounded(w.TokensPerSecond, maxTokensPerSecond)
	w.MsPerToken = bounded(w.MsPerToken, maxMsPerToken)
	f.reports[entry] = workReport{w, now}
}

func bounded(value, limit float64) float64 {
	if !(value > 0) || math.IsInf(value, 0) {
		return 0
	}
	return min(value, limit)
}

// Work returns the number of upstreams that the requests of a fleet of entries keep busy, or 0
// if no entry knows the time per token. Entries that have not reported count with the mean of
// the others, and the time per token is the median of what the entries report.
func (f *Forecast) Work(now time.Time, entries int) float64 {
	tokens := 0.0
	var times []float64
	for entry, r := range f.reports {
		if now.Sub(r.at) > reportLifetime {
			delete(f.reports, entry)
			continue
		}
		tokens += r.TokensPerSecond
		if r.MsPerToken > 0 {
			times = append(times, r.MsPerToken)
		}
	}
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	missing := max(float64(entries)/float64(len(f.reports)), 1)
	return tokens * missing * times[len(times)/2] / 1000
}
