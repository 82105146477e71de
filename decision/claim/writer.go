package claim

import (
	"slices"
	"time"
)

const (
	// maxLostAnswers is the number of lost answers after which a claim fails that
	// was part of a write.
	maxLostAnswers = 2
	// minBackoff and maxBackoff bound the delay between attempts to store
	// outcomes and releases, for which no caller waits.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Event is an input of Writer.Step.
type Event interface{ event() }

// Submit adds an operation. ID identifies it in the SettleAction.
type Submit struct {
	ID string
	Op Op
}

// AnswerKind is how a call to the store ended.
type AnswerKind string

// Kinds of answers.
const (
	// Found answers a read. Version 0 means that the page does not exist.
	Found AnswerKind = "found"
	// Written answers a write that took effect.
	Written AnswerKind = "written"
	// Conflict answers a write whose version condition was not met.
	Conflict AnswerKind = "conflict"
	// Lost means that no usable answer was received: a write may have taken
	// effect, or may still do so.
	Lost AnswerKind = "lost"
	// Refused means that the call had no effect and never will.
	Refused AnswerKind = "refused"
)

// Answer is the result of a call to the store.
type Answer struct {
	Kind AnswerKind
	// Version is the version of the page after the call; unused for Lost and
	// Refused.
	Version uint64
	// Page is the stored page, for Found and Conflict.
	Page Page
}

// Tick lets the writer process a retry that is due.
type Tick struct{}

func (Submit) event() {}
func (Answer) event() {}
func (Tick) event()   {}

// Action is an instruction to the driver.
type Action interface{ action() }

// ReadAction asks the driver to read the page, and to respond with exactly one
// Answer.
type ReadAction struct{}

// WriteAction asks the driver to replace the page on condition that its version
// is Base, and to respond with exactly one Answer. Base 0 means that the page
// must not exist.
type WriteAction struct {
	Base uint64
	Page Page
}

// SettleAction reports the result of an operation.
type SettleAction struct {
	ID     string
	Result Result
	// Claim is the claim that holds the key, for Held and Done.
	Claim Claim
}

func (ReadAction) action()   {}
func (WriteAction) action()  {}
func (SettleAction) action() {}

// pending is an operation that is not stored yet.
type pending struct {
	id  string
	op  Op
	seq int
	// sent is set if a write that includes the operation may have taken effect,
	// or may still do so.
	sent        bool
	lostAnswers int
	// reported is set once the SettleAction was returned, while a release
	// continues in the background.
	reported bool
}

// Writer is the state of one page on one entry. At most one call to the store
// is in flight. Operations that are submitted meanwhile share the next write.
type Writer struct {
	ops []*pending
	seq int
	// pageKnown is set if version and page are the latest answer of the store.
	// pageSeq is the sequence number of the newest operation that was submitted
	// before that call began.
	pageKnown bool
	pageSeq   int
	version   uint64
	page      Page
	// inFlight is set while a call is in flight, and writing if it is a write;
	// sentPage is the page that is written, and callSeq the sequence number of
	// the newest operation that was submitted before the call began.
	inFlight bool
	writing  bool
	callSeq  int
	sentPage Page
	// uncertainWrite is set if a write on version uncertainBase got no answer
	// and may still take effect. That is impossible once the page has another
	// version.
	uncertainWrite bool
	uncertainBase  uint64
	nextAttempt    time.Time
	failures       int
	// openClaims counts the claims that were won and have no outcome yet.
	openClaims int
}

// NewWriter returns a writer that has not read its page yet.
func NewWriter() *Writer { return &Writer{} }

// Idle reports whether the writer can be discarded.
func (w *Writer) Idle() bool { return len(w.ops) == 0 && !w.inFlight && w.openClaims <= 0 }

// Pending returns the number of operations that are not stored yet.
func (w *Writer) Pending() int { return len(w.ops) }

// NextWake returns the time at which the writer needs a Tick, or false if it
// needs none.
func (w *Writer) NextWake() (time.Time, bool) {
	return w.nextAttempt, len(w.ops) > 0 && !w.inFlight && !w.nextAttempt.IsZero()
}

// Step processes one event and returns the resulting actions. At most one of
// them is a ReadAction or WriteAction, and it comes last.
func (w *Writer) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Submit:
		out = w.submit(ev)
	case Answer:
		out = w.handleAnswer(now, ev)
	}
	return append(out, w.advance(now)...)
}

func (w *Writer) submit(ev Submit) []Action {
	if out, ok := w.unstoredOutcome(ev); ok {
		return out
	}
	w.seq++
	w.ops = append(w.ops, &pending{id: ev.ID, op: ev.Op, seq: w.seq})
	if ev.Op.Kind == OpClaim {
		w.nextAttempt = time.Time{}
	}
	return nil
}

// unstoredOutcome settles a claim if its key has an outcome on this entry that
// is not stored yet.
func (w *Writer) unstoredOutcome(ev Submit) ([]Action, bool) {
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

func (w *Writer) handleAnswer(now time.Time, a Answer) []Action {
	if !w.inFlight {
		return nil
	}
	writing := w.writing
	w.inFlight, w.writing = false, false
	switch a.Kind {
	case Written:
		out := w.settleWritten()
		w.setPage(a.Version, w.sentPage)
		return out
	case Found, Conflict:
		w.setPage(a.Version, a.Page)
		return nil
	case Lost:
		return w.handleLost(now, writing)
	}
	return w.handleRefused()
}

// setPage sets the page and its version to those in the store.
func (w *Writer) setPage(version uint64, page Page) {
	w.pageKnown, w.pageSeq = true, w.callSeq
	w.version, w.page = version, page
	if version != w.uncertainBase {
		w.uncertainWrite = false
	}
	for _, p := range w.ops {
		p.sent = p.sent && w.uncertainWrite
	}
	w.failures, w.nextAttempt = 0, time.Time{}
}

// settleWritten settles the operations of a write that took effect.
func (w *Writer) settleWritten() []Action {
	var out []Action
	w.ops = slices.DeleteFunc(w.ops, func(p *pending) bool {
		if !p.sent || p.seq > w.callSeq {
			return false
		}
		out = w.settle(out, p, storedResult[p.op.Kind], Claim{})
		return true
	})
	return out
}

// storedResult maps an operation to its result once it is stored.
var storedResult = map[OpKind]Result{OpClaim: Won, OpRecord: Recorded, OpRelease: Released}

func (w *Writer) settle(out []Action, p *pending, r Result, c Claim) []Action {
	switch {
	case r == Won:
		w.openClaims++
	case p.op.Kind != OpClaim && !p.reported:
		w.openClaims--
	}
	if p.reported {
		return out
	}
	return append(out, SettleAction{ID: p.id, Result: r, Claim: c})
}

// handleLost handles a call without a usable answer. A claim that was not part
// of a write can't take effect and fails at once. Any other claim fails after
// maxLostAnswers and is then released, because its write may still take effect.
func (w *Writer) handleLost(now time.Time, writing bool) []Action {
	w.pageKnown = false
	if writing {
		w.uncertainWrite, w.uncertainBase = true, w.version
	}
	var out []Action
	retryNow := false
	w.ops = slices.DeleteFunc(w.ops, func(p *pending) bool {
		if p.op.Kind != OpClaim || p.seq > w.callSeq {
			retryNow = retryNow || p.op.Kind == OpClaim
			return false
		}
		p.lostAnswers++
		switch {
		case !p.sent:
			out = w.settle(out, p, Failed, Claim{})
			return true
		case p.lostAnswers >= maxLostAnswers:
			out = w.settle(out, p, Failed, Claim{})
			p.op.Kind, p.reported = OpRelease, true
		default:
			retryNow = true
		}
		return false
	})
	if !retryNow {
		w.nextAttempt = now.Add(min(minBackoff<<min(w.failures, 10), maxBackoff))
		w.failures++
	}
	return out
}

// handleRefused settles all operations that were submitted before a refused
// call began.
func (w *Writer) handleRefused() []Action {
	w.pageKnown = false
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

// advance settles the operations whose result follows from the known page, and
// starts the next call.
func (w *Writer) advance(now time.Time) []Action {
	if w.inFlight || len(w.ops) == 0 || now.Before(w.nextAttempt) {
		return nil
	}
	w.nextAttempt = time.Time{}
	if !w.pageKnown {
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
		case p.op.Kind == OpClaim && res != Won && p.seq > w.pageSeq:
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

// mustFence reports whether the page has to be written even though it does not
// contain the claim to release. An uncertain write with the claim may still
// take effect as long as the page has the same version; another write prevents
// that.
func (w *Writer) mustFence(p *pending) bool {
	return p.op.Kind == OpRelease && w.uncertainWrite && w.uncertainBase == w.version
}

func (p *Page) holder(key string, now time.Time) Claim {
	if i := p.find(key, now); i >= 0 {
		return p.Claims[i]
	}
	return Claim{}
}

func (w *Writer) read() Action {
	w.inFlight, w.callSeq, w.pageKnown = true, w.seq, false
	return ReadAction{}
}

func (w *Writer) write(next Page) Action {
	w.inFlight, w.writing, w.callSeq, w.sentPage = true, true, w.seq, next
	for _, p := range w.ops {
		p.sent = true
	}
	return WriteAction{Base: w.version, Page: next}
}
