package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"jaylink/standin/metastore"
	"jaylink/standin/upstream"
)

// fault is one kind of trouble. It ends by itself after its time.
type fault struct {
	name string
	run  func(f *fleet, rng *rand.Rand, hold time.Duration) (detail string)
}

func anyEntry(f *fleet, rng *rand.Rand) *entry { return f.entries[rng.IntN(len(f.entries))] }

// restart ends an entry and starts it again; a start that fails shows as an entry
// that never gets ready.
func restart(f *fleet, e *entry, s syscall.Signal, pause time.Duration) string {
	e.fault.Lock()
	defer e.fault.Unlock()
	e.end(s)
	time.Sleep(pause)
	if err := f.start(e); err != nil {
		return fmt.Sprintf("%s: %v", e.name, err)
	}
	return e.name
}

// onProxy makes a proxy misbehave for a while.
func onProxy(p *proxy, hold time.Duration, change func(*proxy)) {
	p.set(func(p *proxy) { p.disturbed = true })
	p.set(change)
	time.Sleep(hold)
	p.heal()
}

// onStore makes the store misbehave for a while.
func onStore(f *fleet, hold time.Duration, faults metastore.Faults) string {
	f.store.SetFaults(faults)
	time.Sleep(hold)
	f.store.SetFaults(metastore.Faults{})
	return ""
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
		e.fault.Lock()
		defer e.fault.Unlock()
		e.disturb()
		e.signal(syscall.SIGSTOP)
		time.Sleep(hold)
		e.signal(syscall.SIGCONT)
		e.disturb()
		return e.name
	}},
	{"entry_hangup", func(f *fleet, rng *rand.Rand, _ time.Duration) string {
		e := anyEntry(f, rng)
		e.signal(syscall.SIGHUP)
		return e.name
	}},
	{"store_path_silent", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		onProxy(e.store, hold, func(p *proxy) { p.toServer, p.toClient = true, true })
		return e.name
	}},
	{"store_path_one_way", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		e := anyEntry(f, rng)
		onProxy(e.store, hold, func(p *proxy) { p.toClient = true })
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
		b.proxy.set(func(p *proxy) { p.disturbed = true })
		b.proxy.resetAll()
		return b.ID
	}},
	{"upstream_silent", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		onProxy(b.proxy, hold, func(p *proxy) { p.toServer, p.toClient = true, true })
		return b.ID
	}},
	{"upstream_answers_lost", func(f *fleet, rng *rand.Rand, hold time.Duration) string {
		b := f.pick(rng.IntN(8))
		onProxy(b.proxy, hold, func(p *proxy) { p.toClient = true })
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
		b.SetFault(kind)
		time.Sleep(hold)
		b.SetFault(upstream.Sound)
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

// notices are played beside faults, as a series of their own: a seed keeps its faults
// when this list grows.
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
	{"deadly_request", func(f *fleet, rng *rand.Rand, hold time.Duration) string { return f.sendDeadly(rng, hold) }},
}
