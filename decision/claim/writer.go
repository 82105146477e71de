package claim

import (
	"slices"
	"time"
)

const (
	// maxLosses is the number of lost answers after which a claim fails.
	maxLosses = 2
	// The delay between attempts at what no caller waits for.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Event is something that happened to a page.
type Event interface{ event() }

// Submit adds an operation. ID names it in the SettleAction.
type Submit struct {
	ID string
	Op Op
}

// AnswerKind says how a call of the store ended.
type AnswerKind string

// The kinds of answer.
const (
	// Found answers a read; version 0 means that there is no such page.
	Found AnswerKind = "found"
	// Written answers a write that took effect.
	Written AnswerKind = "written"
	// Conflict answers a write whose condition did not hold.
	Conflict AnswerKind = "conflict"
	// Lost means that no usable answer came: a write may have taken effect,
	// or may yet do so.
	Lost AnswerKind = "lost"
	// Refused means that the call had no effect and never will.
	Refused AnswerKind = "refused"
)

// Answer is the end of a call of the store.
type Answer struct {
	Kind AnswerKind
	// Version is that of the page after the call; unused for Lost and Refused.
	Version uint64
	// Page is the stored page, for Found and Conflict.
	Page Page
}

// Tick says that time has passed.
type Tick struct{}

func (Submit) event() {}
func (Answer) event() {}
func (Tick) event()   {}

// Action is something that the driver must do.
type Action interface{ action() }

// ReadAction asks for the page. It is answered by exactly one Answer.
type ReadAction struct{}

// WriteAction replaces the page if it is at version Base; 0 means that it must
// not exist. It is answered by exactly one Answer.
type WriteAction struct {
	Base uint64
	Page Page
}

// SettleAction says what became of an operation.
type SettleAction struct {
	ID     string
	Result Result
	// Claim is the one that stands in the way, for Held and Done.
	Claim Claim
}

func (ReadAction) action()   {}
func (WriteAction) action()  {}
func (SettleAction) action() {}

// pending is an operation that is not settled.
type pending struct {
	id  string
	op  Op
	seq int
	// sent says that a write with the operation is or was under way.
	sent   bool
	losses int
	// settled says that the operation was settled and goes on quietly.
	settled bool
}

// Writer is the state of one page on one entry. At most one call of the store
// is under way, and operations that come meanwhile share the next write.
type Writer struct {
	ops []*pending
	seq int
	// known says that version and page are what the store last said;
	// knownSeq is the newest operation that they are fresh for.
	known    bool
	knownSeq int
	version  uint64
	page     Page
	// busy says that a call is under way; sent is the page of a write.
	busy    bool
	writing bool
	callSeq int
	sent    Page
	// unsettled says that a lost write on the version base may yet take
	// effect. It can't any more once the page is at another version.
	unsettled bool
	base      uint64
	wake      time.Time
	failures  int
	// open counts claims that were won and have no outcome yet.
	open int
}

// NewWriter returns the state of a page about which nothing is known.
func NewWriter() *Writer { return &Writer{} }

// Idle reports whether the writer can be dropped.
func (w *Writer) Idle() bool { return len(w.ops) == 0 && !w.busy && w.open <= 0 }

// Pending returns the number of operations that are not stored.
func (w *Writer) Pending() int { return len(w.ops) }

// NextWake returns when the writer wants a Tick, and false if it needs none.
func (w *Writer) NextWake() (time.Time, bool) {
	return w.wake, len(w.ops) > 0 && !w.busy && !w.wake.IsZero()
}

// Step takes one event and returns the actions that it leads to. There is at
// most one ReadAction or WriteAction, and it is the last one.
func (w *Writer) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Submit:
		out = w.submit(ev)
	case Answer:
		out = w.answered(now, ev)
	}
	return append(out, w.advance(now)...)
}

func (w *Writer) submit(ev Submit) []Action {
	if out, ok := w.localOutcome(ev); ok {
		return out
	}
	w.seq++
	w.ops = append(w.ops, &pending{id: ev.ID, op: ev.Op, seq: w.seq})
	if ev.Op.Kind == OpClaim {
		w.wake = time.Time{}
	}
	return nil
}

// localOutcome answers a claim whose key has an outcome on this entry that is
// not stored yet.
func (w *Writer) localOutcome(ev Submit) ([]Action, bool) {
	if ev.Op.Kind != OpClaim {
		return nil, false
	}
	for _, p := range w.ops {
		if p.op.Kind != OpRecord || p.op.Claim.Key != ev.Op.Claim.Key {
			continue
		}
		if p.op.Claim.Fingerprint != ev.Op.Claim.Fingerprint {
			return []Action{SettleAction{ID: ev.ID, Result: Mismatch}}, true
		}
		return []Action{SettleAction{ID: ev.ID, Result: Done, Claim: p.op.Claim}}, true
	}
	return nil, false
}

func (w *Writer) answered(now time.Time, a Answer) []Action {
	if !w.busy {
		return nil
	}
	writing := w.writing
	w.busy, w.writing = false, false
	switch a.Kind {
	case Written:
		out := w.settleSent()
		w.learn(a.Version, w.sent)
		return out
	case Found, Conflict:
		w.learn(a.Version, a.Page)
		return nil
	case Lost:
		return w.lost(now, writing)
	}
	return w.refused()
}

// learn takes the page as the store has it.
func (w *Writer) learn(version uint64, page Page) {
	w.known, w.knownSeq = true, w.callSeq
	w.version, w.page = version, page
	if version != w.base {
		w.unsettled = false
	}
	for _, p := range w.ops {
		p.sent = p.sent && w.unsettled
	}
	w.failures, w.wake = 0, time.Time{}
}

// settleSent settles the operations of a write that took effect.
func (w *Writer) settleSent() []Action {
	var out []Action
	w.ops = slices.DeleteFunc(w.ops, func(p *pending) bool {
		if !p.sent || p.seq > w.callSeq {
			return false
		}
		out = w.settle(out, p, stored[p.op.Kind], Claim{})
		return true
	})
	return out
}

// stored maps operations to their result once they are stored.
var stored = map[OpKind]Result{OpClaim: Won, OpRecord: Recorded, OpRelease: Released}

func (w *Writer) settle(out []Action, p *pending, r Result, c Claim) []Action {
	switch {
	case r == Won:
		w.open++
	case p.op.Kind != OpClaim && !p.settled:
		w.open--
	}
	if p.settled {
		return out
	}
	return append(out, SettleAction{ID: p.id, Result: r, Claim: c})
}

// lost handles a call without a usable answer. A claim that was never part of
// a write can't take effect and fails at once; one that was fails after
// maxLosses and is then released, since its write may yet take effect.
func (w *Writer) lost(now time.Time, writing bool) []Action {
	w.known = false
	if writing {
		w.unsettled, w.base = true, w.version
	}
	var out []Action
	again := false
	w.ops = slices.DeleteFunc(w.ops, func(p *pending) bool {
		if p.op.Kind != OpClaim || p.seq > w.callSeq {
			again = again || p.op.Kind == OpClaim
			return false
		}
		p.losses++
		switch {
		case !p.sent:
			out = w.settle(out, p, Failed, Claim{})
			return true
		case p.losses >= maxLosses:
			out = w.settle(out, p, Failed, Claim{})
			p.op.Kind, p.settled = OpRelease, true
		default:
			again = true
		}
		return false
	})
	if !again {
		w.wake = now.Add(min(minBackoff<<min(w.failures, 10), maxBackoff))
		w.failures++
	}
	return out
}

// refused settles everything that was part of a refused call.
func (w *Writer) refused() []Action {
	w.known = false
	var out []Action
	w.ops = slices.DeleteFunc(w.ops, func(p *pending) bool {
		if p.seq > w.callSeq {
			return false
		}
		r := Dropped
		if p.op.Kind == OpClaim {
			r = Failed
		}
		out = w.settle(out, p, r, Claim{})
		return true
	})
	return out
}

// advance settles what the known page answers and starts the next call.
func (w *Writer) advance(now time.Time) []Action {
	if w.busy || len(w.ops) == 0 || now.Before(w.wake) {
		return nil
	}
	w.wake = time.Time{}
	if !w.known {
		return []Action{w.read()}
	}
	next := w.page.clone()
	next.expire(now)
	var out []Action
	dirty, stale := false, false
	w.ops = slices.DeleteFunc(w.ops, func(p *pending) bool {
		res, changed := next.apply(p.op, now)
		switch {
		case changed, w.mustFence(p):
			dirty = true
			return false
		case p.op.Kind == OpClaim && res != Won && p.seq > w.knownSeq:
			stale = true
			return false
		}
		out = w.settle(out, p, res, next.holder(p.op.Claim.Key, now))
		return true
	})
	switch {
	case stale:
		return append(out, w.read())
	case dirty:
		return append(out, w.write(next))
	}
	return out
}

// mustFence reports whether the page has to be written again although it lacks
// the claim to release: a lost write with the claim may yet take effect on the
// version that the page is still at.
func (w *Writer) mustFence(p *pending) bool {
	return p.op.Kind == OpRelease && w.unsettled && w.base == w.version
}

func (p *Page) holder(key string, now time.Time) Claim {
	if i := p.find(key, now); i >= 0 {
		return p.Claims[i]
	}
	return Claim{}
}

func (w *Writer) read() Action {
	w.busy, w.callSeq, w.known = true, w.seq, false
	return ReadAction{}
}

func (w *Writer) write(next Page) Action {
	w.busy, w.writing, w.callSeq, w.sent = true, true, w.seq, next
	for _, p := range w.ops {
		p.sent = true
	}
	return WriteAction{Base: w.version, Page: next}
}
