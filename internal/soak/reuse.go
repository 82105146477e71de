package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jaylink/standin/upstream"
)

// firstReuse is the number of the first upstream that is started on another's address. It keeps
// their IDs apart from the other upstreams'.
const firstReuse = 10_000

// reuses run concurrently with the other series: addresses that are given out again, and upstreams
// that refuse late or unasked.
var reuses = []fault{
	{"address_reused", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		detail, err := f.reuseAddress(rng.IntN(2) == 0, hold)
		if err != nil {
			return err.Error()
		}
		return detail
	}},
	{"upstream_refuses_late", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		odd := []upstream.Fault{upstream.ExtraRefusal, upstream.LateRefusal, upstream.CloseAfterHead}
		b, kind := f.pick(rng.IntN(8)), odd[rng.IntN(len(odd))]
		b.beOdd(kind, hold)
		return fmt.Sprintf("%s kind %d", b.ID, kind)
	}},
}

// reuseAddress starts an upstream of another service on the address of one that was removed, for
// the hold time.
func (f *fleet) reuseAddress(undelimited bool, hold time.Duration) (string, error) {
	old, id := f.takeAddress()
	if old == nil {
		return "no address is free", nil
	}
	service := engines
	if old.service == engines {
		service = counter
	}
	s, err := f.startServer(id)
	if err != nil {
		return "", err
	}
	s.Undelimited = undelimited
	f.describe(s, service, old.proxy)
	old.proxy.update(func(p *proxy) { p.target = s.Address() })
	old.proxy.up()
	b := &backend{Server: s, proxy: old.proxy, service: service, zone: old.zone}
	f.mu.Lock()
	f.reusers = append(f.reusers, b)
	f.mu.Unlock()
	f.publish(b, "ready")
	time.Sleep(hold)
	f.remove(b)
	return fmt.Sprintf("%s of %s has the address of %s", b.ID, service, old.ID), nil
}

// takeAddress returns an upstream whose address is free, and an ID for the next one there.
func (f *fleet) takeAddress() (*backend, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.removed, func(b *backend) bool { return b.gone && !b.reused })
	if i < 0 {
		return nil, ""
	}
	f.removed[i].reused = true
	f.reusedCount++
	return f.removed[i], fmt.Sprintf("i-%d", firstReuse+f.reusedCount)
}
