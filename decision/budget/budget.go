// Package budget limits how often requests to upstreams are retried. It does no
// I/O and reads no clock: callers pass the current time.
//
// The limit holds for all entries (the proxy processes of the fleet) together
// and over any window. Each entry spends only what its own first attempts in
// the last window have earned, and an equal share of the fixed extra, so no
// entry needs to know what another one spends. Load patterns handled: an
// upstream that fails every request, callers that retry at once, and many
// streams that break at the same time.
package budget

import "time"

// windowSlices is the number of steps in which the window slides.
const windowSlices = 10

// safetyFactor is the part of the limit that is spent. The rest covers attempts
// in flight at the edges of windows and entries that restart.
const safetyFactor = 0.8

// Options is the platform's limit: in any Window, at most Ratio retries per
// first attempt, and Extra retries in addition.
type Options struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Budget is one entry's part of the retry budget of one service.
type Budget struct {
	opts          Options
	firstAttempts [windowSlices]int
	retries       [windowSlices]int
	currentSlice  int64
}

// New returns a Budget that has earned nothing yet.
func New(opts Options) *Budget { return &Budget{opts: opts} }

func (b *Budget) advance(now time.Time) int {
	sliceLength := int64(b.opts.Window) / windowSlices
	slice := now.UnixNano() / sliceLength
	for stale := min(slice-b.currentSlice, windowSlices); stale > 0; stale-- {
		i := (slice - stale + 1) % windowSlices
		b.firstAttempts[i], b.retries[i] = 0, 0
	}
	b.currentSlice = max(slice, b.currentSlice)
	return int(b.currentSlice % windowSlices)
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *Budget) RecordFirstAttempt(now time.Time) { b.firstAttempts[b.advance(now)]++ }

// Take counts a retry and returns true if the budget allows it. Entries is the
// number of entries that may be spending.
func (b *Budget) Take(now time.Time, entries int) bool {
	i := b.advance(now)
	firstAttempts, retries := 0, 0
	for j := range b.firstAttempts {
		firstAttempts += b.firstAttempts[j]
		retries += b.retries[j]
	}
	allowed := safetyFactor * (b.opts.Ratio*float64(firstAttempts) + b.opts.Extra/float64(max(entries, 1)))
	if float64(retries+1) > allowed {
		return false
	}
	b.retries[i]++
	return true
}

// GiveBack returns a retry that was taken and not made. The latest ones are returned first.
func (b *Budget) GiveBack(now time.Time) {
	latest := b.advance(now)
	for age := range windowSlices {
		if i := (latest - age + windowSlices) % windowSlices; b.retries[i] > 0 {
			b.retries[i]--
			return
		}
	}
}
