package schedules

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/claim"
	"jaylink/decision/reason"
	"jaylink/internal/schedule"
)

func TestDecisionsKeepTheGuarantees(t *testing.T) {
	schedule.Check(t, 0, "random_fleet_schedules", func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"request": f.request, "request2": f.request, "give": f.give, "run": f.runAny, "answer": f.answer,
			"break": f.breakAny, "refuse": f.refuseAny, "crash": f.crash, "leave": f.leave, "drain": f.drain,
			"kill": f.kill, "execute": f.execute, "execute2": f.execute,
			"reply": f.reply, "reply2": f.reply, "lose": f.lose, "give2": f.give, "run2": f.runAny,
			"pass": f.pass, "change": f.change, "deliver": f.deliver,
		})
		f.heal()
		f.check()
	})
}

func (f *fleet) entry() *entry { return rapid.SampledFrom(f.entries).Draw(f.t, "entry") }

func (f *fleet) request(*rapid.T) {
	e := f.entry()
	method := rapid.SampledFrom([]string{"GET", "POST", "POST"}).Draw(f.t, "method")
	r := &request{
		id:         fmt.Sprintf("r%d", len(f.order)+1),
		key:        rapid.SampledFrom([]string{"", "key-1", "key-1", "key-2"}).Draw(f.t, "key"),
		print:      rapid.SampledFrom([]uint64{1, poisonPrint}).Draw(f.t, "fingerprint"),
		idempotent: method == "GET",
		entry:      e,
	}
	f.requests[r.id] = r
	f.order = append(f.order, r)
	f.step(e, decision.RequestEvent{
		ID: r.id, Key: r.key, Fingerprint: r.print,
		Labels: api.Labels{"app": "desk", "account": "c", "method": method},
	})
	if refusal, ok := r.told.(decision.RefuseAction); e.draining && (!ok || refusal.Reason != reason.Draining) {
		f.t.Fatalf("guarantee 6: a draining entry took %s", r.id)
	}
}

// draw picks one of the attempts that a condition selects, or nil.
func (f *fleet) draw(want func(*attempt) bool) *attempt {
	var list []*attempt
	for _, at := range f.attempts {
		if want(at) {
			list = append(list, at)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(f.t, "attempt")]
}

func (f *fleet) give(*rapid.T) {
	if at := f.draw(func(at *attempt) bool { return at.entry != nil && !at.given }); at != nil {
		at.given = true
	}
}

// canRun says that the upstream has the call, whether or not anyone waits.
func canRun(at *attempt) bool { return at.given && !at.ran && !at.closed }

func (f *fleet) runAny(*rapid.T) {
	at := f.draw(canRun)
	if at != nil && f.requests[at.action.ID].print != poisonPrint {
		f.run(at)
	}
}

func (f *fleet) answer(*rapid.T) {
	if at := f.draw(func(at *attempt) bool { return at.entry != nil && at.ran }); at != nil {
		f.end(at, decision.OutcomeDone, reason.RanYes)
	}
}

// breakAny breaks a connection, wherever the call stands.
func (f *fleet) breakAny(*rapid.T) {
	at := f.draw(func(at *attempt) bool { return at.entry != nil })
	switch {
	case at == nil:
	case !at.given:
		f.end(at, decision.OutcomeConnectFailed, f.knownRan(at))
	default:
		f.end(at, decision.OutcomeNoAnswer, reason.RanUnknown)
	}
}

// refuseAny lets an upstream prove that it did not run a call.
func (f *fleet) refuseAny(*rapid.T) {
	if at := f.draw(func(at *attempt) bool { return at.entry != nil && canRun(at) }); at != nil {
		at.closed = true
		f.end(at, decision.OutcomeBusy, reason.RanNo)
	}
}

// crash lets the poison request run: its upstream ends, and all calls with it.
func (f *fleet) crash(*rapid.T) {
	cause := f.draw(func(at *attempt) bool {
		return canRun(at) && f.requests[at.action.ID].print == poisonPrint
	})
	if cause == nil {
		return
	}
	f.run(cause)
	for _, at := range f.attempts {
		if at.action.Upstream != cause.action.Upstream || at.closed {
			continue
		}
		at.closed = true
		if at.entry != nil {
			f.endCrashed(at, decision.OutcomeNoAnswer, f.knownRan(at), at.given)
		}
	}
	f.now = f.now.Add(time.Second) // it takes time to start again
}

func (f *fleet) leave(*rapid.T) {
	e, name := f.entry(), rapid.SampledFrom([]string{"u1", "u2"}).Draw(f.t, "upstream")
	e.leaving[name] = !e.leaving[name]
	f.step(e, decision.LeavingEvent{Upstream: name, Leaving: e.leaving[name]})
}

func (f *fleet) drain(*rapid.T) {
	e := f.entry()
	if rapid.IntRange(0, 3).Draw(f.t, "drain") == 0 {
		e.draining = true
		f.step(e, decision.DrainEvent{})
	}
}

// kill ends an entry and starts another in its place, which knows nothing.
func (f *fleet) kill(*rapid.T) {
	e := f.entry()
	for _, r := range f.order {
		if r.entry == e && r.told == nil {
			r.entry = nil
		}
	}
	for _, at := range f.attempts {
		if at.entry == e {
			at.entry = nil
		}
	}
	for _, c := range f.calls {
		if c.entry == e {
			c.entry = nil
		}
	}
	f.entries[e.number] = f.newEntry(e.number)
}

func (f *fleet) drawCall(want func(*storeCall) bool) *storeCall {
	var list []*storeCall
	for _, c := range f.calls {
		if want(c) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(f.t, "call")]
}

func (f *fleet) execute(*rapid.T) {
	if c := f.drawCall(func(c *storeCall) bool { return !c.executed }); c != nil {
		f.executeCall(c)
	}
}

func (f *fleet) executeCall(c *storeCall) {
	c.executed = true
	switch {
	case c.write == nil:
		c.answer = claim.Answer{Kind: claim.Found, Version: f.version, Page: f.page}
	case c.write.Base == f.version:
		f.version++
		f.page = c.write.Page
		c.answer = claim.Answer{Kind: claim.Written, Version: f.version}
	default:
		c.answer = claim.Answer{Kind: claim.Conflict, Version: f.version, Page: f.page}
	}
}

func (f *fleet) reply(*rapid.T) {
	if c := f.drawCall(func(c *storeCall) bool { return c.entry != nil && c.executed }); c != nil {
		f.replyTo(c, c.answer)
	}
}

func (f *fleet) lose(*rapid.T) {
	if c := f.drawCall(func(c *storeCall) bool { return c.entry != nil }); c != nil {
		f.replyTo(c, claim.Answer{Kind: claim.Lost})
	}
}

func (f *fleet) replyTo(c *storeCall, a claim.Answer) {
	e := c.entry
	c.entry = nil
	f.stepWriter(e, a)
}

func (f *fleet) pass(*rapid.T) { f.passTime(time.Second) }

func (f *fleet) passTime(d time.Duration) {
	f.now = f.now.Add(d)
	for _, e := range f.entries {
		f.step(e, decision.TickEvent{})
		f.stepWriter(e, claim.Tick{})
	}
}

// change writes a new version of an object to the store.
func (f *fleet) change(*rapid.T) {
	old := rapid.SampledFrom(f.history).Draw(f.t, "object")
	o := *old
	o.Version = uint64(len(f.history) + 1)
	f.history = append(f.history, &o)
}

// deliver gives an entry any version of any object, new or old.
func (f *fleet) deliver(*rapid.T) {
	f.learn(f.entry(), rapid.SampledFrom(f.history).Draw(f.t, "version"))
}

// heal ends the faults: every call is answered, and time passes.
func (f *fleet) heal() {
	for range 100 {
		for i := 0; i < len(f.calls); i++ {
			c := f.calls[i]
			if !c.executed {
				f.executeCall(c)
			}
			if c.entry != nil {
				f.replyTo(c, c.answer)
			}
		}
		for i := 0; i < len(f.attempts); i++ {
			at := f.attempts[i]
			if at.entry != nil && !at.ran {
				f.end(at, decision.OutcomeNoAnswer, f.knownRan(at))
			} else if at.entry != nil {
				f.end(at, decision.OutcomeDone, reason.RanYes)
			}
		}
		f.passTime(time.Second)
	}
}

// check states what must hold at the end.
func (f *fleet) check() {
	for _, r := range f.order {
		if r.entry != nil && r.told == nil {
			f.t.Fatalf("guarantee 2: %s never got a final action", r.id)
		}
	}
	for _, e := range f.entries {
		if at, ok := e.core.NextWake(); ok {
			f.t.Fatalf("an entry without requests wants to be woken at %s", at)
		}
	}
}
