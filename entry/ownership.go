package entry

import (
	"context"
	"fmt"

	"jaylink/decision"
	"jaylink/decision/handover"
	"jaylink/operator"
	"jaylink/peer/peerpb"
)

// become makes this entry the owner of a request that it holds a copy of, and
// drives it. It reports whether the request is driven here under the epoch, or
// one as new. With full set, the copy carries the whole answer so far.
func (e *Entry) become(rec *Record, epoch uint64, full *peerpb.RequestCopy) bool {
	rec.mu.Lock()
	o := &rec.ownership
	mine := handover.Claim{Epoch: epoch, Owner: e.settings.Name}
	if o.role == peerpb.Role_ROLE_OWNER || !o.claim(e.settings.Name).Before(mine) {
		held := o.role == peerpb.Role_ROLE_OWNER && o.epoch >= epoch
		rec.mu.Unlock()
		return held
	}
	if full != nil && len(full.Text) >= len(rec.text) {
		rec.text = full.Text
		rec.tokens = int(full.Tokens)
	}
	if o.unfollow != nil {
		o.unfollow()
	}
	rec.ownership = ownership{role: peerpb.Role_ROLE_OWNER, epoch: epoch, holders: o.holders}
	rec.attempt = attempt{id: attemptID{epoch: epoch}}
	rec.notify()
	rec.mu.Unlock()
	e.records.adopted(rec)
	cause := "owner is lost"
	if full != nil {
		cause = "handed over"
	}
	e.decisions.add(operator.Decision{
		Kind: operator.DecisionTaken, RequestID: rec.ID, Detail: fmt.Sprintf("epoch=%d cause=%q", epoch, cause),
	})
	e.drive(rec, full)
	return true
}

// drive passes a request that this entry now owns to the core.
func (e *Entry) drive(rec *Record, full *peerpb.RequestCopy) {
	e.driver.step(decision.AdoptEvent{
		ID:         rec.ID,
		Labels:     rec.Labels,
		Deadline:   rec.deadline,
		Failed:     int(full.GetFailedAttempts()),
		Prefix:     promptPrefix(rec.Call.Completion),
		Dispatched: true,

		Fingerprint: rec.Fingerprint,
	})
}

// suspend stops driving a request and waits until its attempt has ended. It
// returns false if the request ended first.
func (e *Entry) suspend(ctx context.Context, rec *Record) bool {
	e.driver.step(decision.ReleaseEvent{ID: rec.ID})
	rec.mu.Lock()
	ended, cancel, done := rec.attempt.ended, rec.attempt.cancel, rec.done
	rec.mu.Unlock()
	if done {
		return false
	}
	if cancel == nil {
		return true
	}
	cancel()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return true
}

// moveTo notes that another entry owns the request. Text of attempts that this
// entry still has under way is dropped, and callers are told where to go on.
func (e *Entry) moveTo(rec *Record, owner *peerpb.Member, epoch uint64) {
	rec.mu.Lock()
	before := rec.ownership
	next := handover.Claim{Epoch: epoch, Owner: owner.GetName()}
	if rec.done || !before.claim(e.settings.Name).Before(next) {
		rec.mu.Unlock()
		return
	}
	rec.ownership = ownership{role: peerpb.Role_ROLE_MOVED, epoch: epoch, owner: owner, holders: before.holders}
	rec.attempt.id = attemptID{epoch: epoch}
	rec.notify()
	rec.mu.Unlock()
	if before.role == peerpb.Role_ROLE_OWNER {
		e.records.ended(rec)
	}
	e.metrics.moved.Inc(1)
	e.decisions.add(operator.Decision{
		Kind: operator.DecisionMoved, RequestID: rec.ID, Peer: owner.GetName(), Detail: fmt.Sprintf("epoch=%d", epoch),
	})
	e.log.Info("request moved", "request_id", rec.ID, "peer", owner.GetName(), "epoch", epoch)
}

// announced takes the news that another entry owns a request. If that is a
// better claim than the one known here, this entry stops driving the request and
// tells the owner that it knew; otherwise it tells the other entry of the better
// claim.
func (e *Entry) announced(rec *Record, owner *peerpb.Member, epoch uint64) {
	rec.mu.Lock()
	o, done := rec.ownership, rec.done
	rec.mu.Unlock()
	if done {
		return
	}
	known := o.owner
	if known == nil {
		known = e.peers.Self()
	}
	switch handover.Judge(o.claim(e.settings.Name), handover.Claim{Epoch: epoch, Owner: owner.GetName()}) {
	case handover.Accept:
		e.yield(rec, owner, epoch)
		e.announce(rec.ID, owner, epoch, []*peerpb.Member{known})
	case handover.Correct:
		e.announce(rec.ID, known, o.epoch, []*peerpb.Member{owner})
	}
}

// yield gives up a request to its owner.
func (e *Entry) yield(rec *Record, owner *peerpb.Member, epoch uint64) {
	if v, _ := rec.read(0); v.role == peerpb.Role_ROLE_HOLDER {
		rec.redirect(owner, epoch)
		return
	}
	e.driver.step(decision.ReleaseEvent{ID: rec.ID})
	rec.mu.Lock()
	cancel := rec.attempt.cancel
	rec.mu.Unlock()
	e.moveTo(rec, owner, epoch)
	if cancel != nil {
		cancel()
	}
}

// redirect makes a holder follow another owner.
func (r *Record) redirect(owner *peerpb.Member, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := handover.Claim{Epoch: epoch, Owner: owner.GetName()}
	if r.ownership.role != peerpb.Role_ROLE_HOLDER || next.Before(r.ownership.claim("")) {
		return
	}
	r.ownership.owner = owner
	r.ownership.epoch = epoch
	if r.ownership.unfollow != nil {
		r.ownership.unfollow()
	}
}
