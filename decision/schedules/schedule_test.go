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
		// rapid sorts the actions by name, so renaming one changes the schedules
		// that a seed produces.
		t.Repeat(map[string]func(*rapid.T){
			"request": f.request, "request2": f.request, "give": f.deliverRequest, "run": f.runDelivered,
			"answer": f.answer, "break": f.breakConnection, "refuse": f.refuseBusy, "crash": f.crashUpstream,
			"leave": f.toggleLeaving, "drain": f.drainEntry, "kill": f.killEntry,
			"execute": f.executeAnyCall, "execute2": f.executeAnyCall,
			"reply": f.replyToAnyCall, "reply2": f.replyToAnyCall, "lose": f.loseReply,
			"give2": f.deliverRequest, "run2": f.runDelivered,
			"pass": f.advanceSecond, "change": f.writeObject, "deliver": f.deliverObject,
		})
		f.heal()
		f.checkFinalState()
	})
}

func (f *fleet) drawEntry() *entry { return rapid.SampledFrom(f.entries).Draw(f.t, "entry") }

func (f *fleet) request(*rapid.T) {
	e := f.drawEntry()
	method := rapid.SampledFrom([]string{"GET", "POST", "POST"}).Draw(f.t, "method")
	r := &request{
		id:          fmt.Sprintf("r%d", len(f.order)+1),
		key:         rapid.SampledFrom([]string{"", "key-1", "key-1", "key-2"}).Draw(f.t, "key"),
		fingerprint: rapid.SampledFrom([]uint64{1, poisonFingerprint}).Draw(f.t, "fingerprint"),
		idempotent:  method == "GET",
		entry:       e,
	}
	f.requests[r.id] = r
	f.order = append(f.order, r)
	f.step(e, decision.RequestEvent{
		ID: r.id, Key: r.key, Fingerprint: r.fingerprint,
		Labels: api.Labels{"app": "desk", "account": "c", "method": method},
	})
	if refusal, ok := r.final.(decision.RefuseAction); e.draining && (!ok || refusal.Reason != reason.Draining) {
		f.t.Fatalf("guarantee 6: a draining entry accepted %s", r.id)
	}
}

// drawAttempt picks one of the attempts that a condition selects, or nil.
func (f *fleet) drawAttempt(want func(*attempt) bool) *attempt {
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

// deliverRequest delivers a dispatched attempt to its upstream.
func (f *fleet) deliverRequest(*rapid.T) {
	if at := f.drawAttempt(func(at *attempt) bool { return at.entry != nil && !at.delivered }); at != nil {
		at.delivered = true
	}
}

// canRun reports whether the upstream may still run the attempt, whether or not
// an entry waits for the result.
func canRun(at *attempt) bool { return at.delivered && !at.ran && !at.cannotRun }

// runDelivered runs a delivered attempt, except of a poison request, which only
// crashUpstream runs.
func (f *fleet) runDelivered(*rapid.T) {
	at := f.drawAttempt(canRun)
	if at != nil && f.requests[at.action.ID].fingerprint != poisonFingerprint {
		f.runAttempt(at)
	}
}

func (f *fleet) answer(*rapid.T) {
	if at := f.drawAttempt(func(at *attempt) bool { return at.entry != nil && at.ran }); at != nil {
		f.endAttempt(at, decision.OutcomeDone, reason.RanYes)
	}
}

// breakConnection breaks the connection of an attempt, delivered or not.
func (f *fleet) breakConnection(*rapid.T) {
	at := f.drawAttempt(func(at *attempt) bool { return at.entry != nil })
	switch {
	case at == nil:
	case !at.delivered:
		f.endAttempt(at, decision.OutcomeConnectFailed, f.ranWithoutAnswer(at))
	default:
		f.endAttempt(at, decision.OutcomeNoAnswer, reason.RanUnknown)
	}
}

// refuseBusy makes an upstream refuse an attempt as busy, which proves that it
// did not run it.
func (f *fleet) refuseBusy(*rapid.T) {
	if at := f.drawAttempt(func(at *attempt) bool { return at.entry != nil && canRun(at) }); at != nil {
		at.cannotRun = true
		f.endAttempt(at, decision.OutcomeBusy, reason.RanNo)
	}
}

// crashUpstream runs a poison request, which crashes its upstream and ends all
// attempts on it.
func (f *fleet) crashUpstream(*rapid.T) {
	cause := f.drawAttempt(func(at *attempt) bool {
		return canRun(at) && f.requests[at.action.ID].fingerprint == poisonFingerprint
	})
	if cause == nil {
		return
	}
	f.runAttempt(cause)
	for _, at := range f.attempts {
		if at.action.Upstream != cause.action.Upstream || at.cannotRun {
			continue
		}
		at.cannotRun = true
		if at.entry != nil {
			f.endAttemptCrashed(at, decision.OutcomeNoAnswer, f.ranWithoutAnswer(at), at.delivered)
		}
	}
	f.now = f.now.Add(time.Second) // the upstream takes time to restart
}

func (f *fleet) toggleLeaving(*rapid.T) {
	e, name := f.drawEntry(), rapid.SampledFrom([]string{"u1", "u2"}).Draw(f.t, "upstream")
	e.leaving[name] = !e.leaving[name]
	f.step(e, decision.LeavingEvent{Upstream: name, Leaving: e.leaving[name]})
}

func (f *fleet) drainEntry(*rapid.T) {
	e := f.drawEntry()
	if rapid.IntRange(0, 3).Draw(f.t, "drain") == 0 {
		e.draining = true
		f.step(e, decision.DrainEvent{})
	}
}

// killEntry terminates an entry and starts a new one without state in its place.
func (f *fleet) killEntry(*rapid.T) {
	e := f.drawEntry()
	for _, r := range f.order {
		if r.entry == e && r.final == nil {
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

func (f *fleet) executeAnyCall(*rapid.T) {
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

func (f *fleet) replyToAnyCall(*rapid.T) {
	if c := f.drawCall(func(c *storeCall) bool { return c.entry != nil && c.executed }); c != nil {
		f.replyTo(c, c.answer)
	}
}

func (f *fleet) loseReply(*rapid.T) {
	if c := f.drawCall(func(c *storeCall) bool { return c.entry != nil }); c != nil {
		f.replyTo(c, claim.Answer{Kind: claim.Lost})
	}
}

func (f *fleet) replyTo(c *storeCall, a claim.Answer) {
	e := c.entry
	c.entry = nil
	f.stepWriter(e, a)
}

func (f *fleet) advanceSecond(*rapid.T) { f.advance(time.Second) }

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, e := range f.entries {
		f.step(e, decision.TickEvent{})
		f.stepWriter(e, claim.Tick{})
	}
}

// writeObject writes a new version of a configuration object to the store.
func (f *fleet) writeObject(*rapid.T) {
	old := rapid.SampledFrom(f.history).Draw(f.t, "object")
	o := *old
	o.Version = uint64(len(f.history) + 1)
	f.history = append(f.history, &o)
}

// deliverObject delivers a new or old version of an object to an entry.
func (f *fleet) deliverObject(*rapid.T) {
	f.applyObject(f.drawEntry(), rapid.SampledFrom(f.history).Draw(f.t, "version"))
}

// heal ends the faults: it answers all calls, ends all attempts and advances the
// time.
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
				f.endAttempt(at, decision.OutcomeNoAnswer, f.ranWithoutAnswer(at))
			} else if at.entry != nil {
				f.endAttempt(at, decision.OutcomeDone, reason.RanYes)
			}
		}
		f.advance(time.Second)
	}
}

// checkFinalState checks what must hold after the faults have ended.
func (f *fleet) checkFinalState() {
	for _, r := range f.order {
		if r.entry != nil && r.final == nil {
			f.t.Fatalf("guarantee 2: %s never got a final action", r.id)
		}
	}
	for _, e := range f.entries {
		if at, ok := e.core.NextWake(); ok {
			f.t.Fatalf("an entry without requests has a wake-up scheduled at %s", at)
		}
	}
}
