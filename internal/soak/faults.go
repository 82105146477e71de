package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

// fault is one kind of fault. Its run function injects it and ends it after the hold
// time.
type fault struct {
	name string
	run  func(f *fleet, rng *rand.Rand, hold time.Duration) (detail string)
}

func anyEntry(f *fleet, rng *rand.Rand) *entry { return f.entries[rng.IntN(len(f.entries))] }

// restart terminates an entry's process and starts a new one. If the start fails, the
// entry does not become ready, and the run reports that.
func restart(f *fleet, e *entry, s syscall.Signal, pause time.Duration) string {
	e.fault.Lock()
	defer e.fault.Unlock()
	defer e.disturbed.begin()()
	e.terminate(s)
	time.Sleep(pause)
	if err := f.start(e); err != nil {
		return fmt.Sprintf("%s: %v", e.name, err)
	}
	return e.name
}

// pause stops an entry's process for the time of a call.
func (e *entry) pause(meanwhile func()) {
	e.fault.Lock()
	defer e.fault.Unlock()
	defer e.disturbed.begin()()
	e.markDisturbed()
	e.signal(syscall.SIGSTOP)
	meanwhile()
	e.signal(syscall.SIGCONT)
	e.markDisturbed()
}

// onProxy injects faults into a proxy for the hold time.
func onProxy(p *proxy, hold time.Duration, change func(*proxy)) {
	defer p.disturbed.begin()()
	defer p.harmed.begin()()
	p.update(func(p *proxy) { p.wasFaulty = true })
	p.update(change)
	time.Sleep(hold)
	p.clearFaults()
}

// onStore injects faults into the store for the hold time.
func onStore(f *fleet, hold time.Duration, faults metastore.Faults) string {
	defer f.storeDisturbed.begin()()
	f.store.SetFaults(faults)
	time.Sleep(hold)
	f.store.SetFaults(metastore.Faults{})
	return ""
}

// resetConnections resets all connections to an upstream.
func (b *backend) resetConnections() {
	defer b.proxy.disturbed.begin()()
	b.proxy.update(func(p *proxy) { p.wasFaulty = true })
	b.proxy.resetAll()
}

// beOdd injects a fault into an upstream for the hold time.
func (b *backend) beOdd(kind upstream.Fault, hold time.Duration) {
	defer b.proxy.disturbed.begin()()
	b.SetFault(kind)
	time.Sleep(hold)
	b.SetFault(upstream.Sound)
}

var faults = []fault{
	{"entry_stopped", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		return restart(f, anyEntry(f, rng), syscall.SIGTERM, hold/4)
	}},
	{"entry_killed", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		return restart(f, anyEntry(f, rng), syscall.SIGKILL, hold/4)
	}},
	{"entry_paused", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		e.pause(func() { time.Sleep(hold) })
		return e.name
	}},
	{"entry_hangup", func(f *fleet, rng *rand.Rand, _ time.Duration) string {
		e := anyEntry(f, rng)
		e.signal(syscall.SIGHUP)
		return e.name
	}},
	{"store_path_silent", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		onProxy(e.store, hold, func(p *proxy) { p.dropToServer, p.dropToClient = true, true })
		return e.name
	}},
	{"store_path_one_way", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		onProxy(e.store, hold, func(p *proxy) { p.dropToClient = true })
		return e.name
	}},
	{"store_path_slow", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		onProxy(e.store, hold, func(p *proxy) { p.delay = 300 * time.Millisecond })
		return e.name
	}},
	{"store_down", func(f *fleet, _ *rand.Rand, hold time.Duration) string {
		return onStore(f, hold, metastore.Faults{Down: true})
	}},
	{"store_loses_answers", func(f *fleet, _ *rand.Rand, hold time.Duration) string {
		return onStore(f, hold, metastore.Faults{LoseWrites: true})
	}},
	{"store_watches_silent", func(f *fleet, _ *rand.Rand, hold time.Duration) string {
		return onStore(f, hold, metastore.Faults{SilentWatches: true})
	}},
	{"store_history_gone", func(f *fleet, _ *rand.Rand, _ time.Duration) string {
		f.store.Compact()
		return ""
	}},
	{"configuration_changed", func(f *fleet, _ *rand.Rand, _ time.Duration) string {
		f.newKey()
		return ""
	}},
	{"upstream_reset", func(f *fleet, rng *rand.Rand, _ time.Duration) string {
		b := f.pick(rng.IntN(8))
		b.resetConnections()
		return b.ID
	}},
	{"upstream_silent", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		onProxy(b.proxy, hold, func(p *proxy) { p.dropToServer, p.dropToClient = true, true })
		return b.ID
	}},
	{"upstream_answers_lost", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		onProxy(b.proxy, hold, func(p *proxy) { p.dropToClient = true })
		return b.ID
	}},
	{"upstream_refuses", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		onProxy(b.proxy, hold, func(p *proxy) { p.refuse = true })
		return b.ID
	}},
	{"upstream_odd", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		odd := []upstream.Fault{
			upstream.Decline, upstream.Fail, upstream.CutInEvent, upstream.CutAnswer,
			upstream.CloseUnanswered, upstream.Extra, upstream.Unproven, upstream.Silent,
		}
		b, kind := f.pick(rng.IntN(8)), odd[rng.IntN(len(odd))]
		b.beOdd(kind, hold)
		return fmt.Sprintf("%s kind %d", b.ID, kind)
	}},
	{"upstream_replaced", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		if err := f.replace(rng.IntN(8), true, hold); err != nil {
			return err.Error()
		}
		return ""
	}},
	{"upstream_crashed", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		if err := f.replace(rng.IntN(8), false, hold); err != nil {
			return err.Error()
		}
		return ""
	}},
}

// notices run concurrently with faults as a separate series, so that adding to this
// list does not change the faults of existing seeds.
var notices = []fault{
	{"upstream_rests", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		b.SetFault(upstream.Rest)
		time.Sleep(hold)
		b.SetFault(upstream.Sound)
		return b.ID
	}},
	{"upstream_answers_that_it_leaves", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b, err := f.leave(rng.IntN(8), hold)
		if err != nil {
			return err.Error()
		}
		return b.ID
	}},
	deadlyRequest,
}

// deadlyRequest sends a request that crashes its upstreams.
var deadlyRequest = fault{"deadly_request", func(f *fleet, rng *rand.Rand, hold time.Duration) string { return f.sendDeadly(rng, hold) }}
