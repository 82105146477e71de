package soak

import (
	"math/rand/v2"
	"time"
)

// endPause is how long the series waits after each of its faults. It leaves most upstreams up.
const endPause = 4 * time.Second

// ends run concurrently with the other series: upstreams whose process dies and starts again,
// or is silent while it works.
var ends = []fault{
	{"upstream_died", func(f *fleet, rng *rand.Rand, _ time.Duration) string {
		b := f.pick(rng.IntN(8))
		b.Crash()
		time.Sleep(endPause)
		return b.ID
	}},
	{"upstream_held", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		onProxy(b.proxy, hold, func(p *proxy) { p.held = true })
		time.Sleep(endPause)
		return b.ID
	}},
}

// drawKind draws what a new upstream is like: how its answers end, and how its death shows.
func (f *fleet) drawKind() (undelimited bool, d death) {
	f.mu.Lock()
	defer f.mu.Unlock()
	undelimited = f.kinds.IntN(2) == 0
	ports := []deadPort{portRefuses, portRefuses, portCloses, portSilent}
	return undelimited, death{closes: f.kinds.IntN(2) == 0, port: ports[f.kinds.IntN(len(ports))]}
}

// registerAgain writes the registration of an upstream that has started again, with its new
// start time.
func (f *fleet) registerAgain(id string, startMillis int64) {
	f.writes.Lock()
	defer f.writes.Unlock()
	if r, ok := f.registrations[id]; ok {
		r.startMillis = startMillis
		f.registrations[id] = r
		f.writeRegistration(r)
	}
}
