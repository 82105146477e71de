package waiting

import (
	"math"
	"time"
)

// drain measures the rate at which waiting requests are started, in engine time as
// predicted.
type drain struct {
	last       time.Time
	backlogged bool
	// work is the engine time started and seconds the time passed while requests waited,
	// both with a decay.
	work, seconds float64
}

// observe records the engine time of the waiting requests that are started now, and whether
// others still wait. Time counts only if requests have waited since the call before, because
// else demand bounds the rate.
func (d *drain) observe(now time.Time, started time.Duration, backlogged bool) {
	passed := now.Sub(d.last)
	if d.backlogged && passed >= 0 {
		keep := 1.0
		if passed > 0 {
			keep = math.Exp(-float64(passed) / float64(rateWindow))
		}
		// A long pause between calls says little about the rate.
		d.work = d.work*keep + started.Seconds()
		d.seconds = d.seconds*keep + min(passed, rateWindow).Seconds()
	}
	d.last, d.backlogged = now, backlogged
}

// rate returns the stated rate, corrected by the measured one the more the longer that was
// measured.
func (d *drain) rate(stated float64) float64 {
	if stated <= 0 {
		return 0
	}
	weight := min(d.seconds/rateWindow.Seconds(), 1)
	if weight == 0 {
		return stated
	}
	measured := min(max(d.work/d.seconds, stated/maxCorrection), stated*maxCorrection)
	return stated + weight*(measured-stated)
}

// golden is the fractional part of the golden ratio. Its multiples are spread evenly.
const golden = 0.6180339887498949

// retries spreads the return of refused requests over the time in which capacity becomes
// free for them.
type retries struct {
	last time.Time
	// promised is the engine time of the requests of each priority that have been told to
	// return and for which there was no time yet.
	promised [levels]float64
	count    uint64
}

// after returns the Retry-After of a request that is refused while ahead of it requests of
// some engine time wait.
func (t *retries) after(now time.Time, r *Request, ahead time.Duration, rate float64) time.Duration {
	t.count++
	if rate <= 0 {
		_, part := math.Modf(float64(t.count) * golden)
		return noRateRetryAfter + time.Duration(part*float64(noRateRetryAfter))
	}
	// What has become free since then is used by the most urgent first.
	if free := now.Sub(t.last).Seconds() * rate; free > 0 && !t.last.IsZero() {
		for p := range t.promised {
			used := min(t.promised[p], free)
			t.promised[p] -= used
			free -= used
		}
	}
	t.last = now
	work := ahead.Seconds()
	for p := range r.Priority + 1 {
		work += t.promised[p]
	}
	wait := work / rate
	if limit := maxRetryAfter.Seconds(); wait < limit {
		t.promised[r.Priority] += r.Cost.Seconds()
	} else {
		// Nothing is free for the request within the limit; don't return all at once.
		_, part := math.Modf(float64(t.count) * golden)
		wait = limit * (0.5 + part/2)
	}
	return max(time.Duration(wait*float64(time.Second)), minRetryAfter)
}
