package entry

import (
	"context"
	"fmt"

	"jaylink/decision"
	"jaylink/decision/handover"
	"jaylink/operator"
	"jaylink/peer/peerpb"
)

// becomeOwner makes this entry the owner of a request that it holds a copy of,
// and starts driving it. It reports whether this entry drives the request under
// the given epoch or a later one. If fullCopy is set, it has the whole answer
// so far.
func (e *Entry) becomeOwner(rec *Record, epoch uint64, fullCopy *peerpb.RequestCopy) bool {
	rec.mu.Lock()
	o := &rec.ownership
	own := handover.Claim{Epoch: epoch, Owner: e.settings.Name}
	if o.role == peerpb.Role_ROLE_OWNER || !o.claim(e.settings.Name).Before(own) {
		alreadyOwned := o.role == peerpb.Role_ROLE_OWNER && o.epoch >= epoch
		rec.mu.Unlock()
		return alreadyOwned
	}
	if fullCopy != nil && len(fullCopy.Text) >= len(rec.text) {
		rec.text = fullCopy.Text
		rec.tokens = int(fullCopy.Tokens)
	}
	if o.stopFollowing != nil {
		o.stopFollowing()
	}
	rec.ownership = ownership{role: peerpb.Role_ROLE_OWNER, epoch: epoch, holders: o.holders}
	rec.attempt = attempt{id: attemptID{epoch: epoch}}
	rec.notify()
	rec.mu.Unlock()
	e.records.markAdopted(rec)
	cause := "owner is lost"
	if fullCopy != nil {
		cause = "handed over"
	}
	e.decisions.add(operator.Decision{
		Kind: operator.DecisionTakenOver, RequestID: rec.ID, Detail: fmt.Sprintf("epoch=%d cause=%q", epoch, cause),
	})
	e.startDriving(rec, fullCopy)
	return true
}

// startDriving passes a request that this entry now owns to the core.
func (e *Entry) startDriving(rec *Record, fullCopy *peerpb.RequestCopy) {
	e.driver.step(decision.AdoptEvent{
		ID:         rec.ID,
		Labels:     rec.Labels,
		Deadline:   rec.deadline,
		Failed:     int(fullCopy.GetFailedAttempts()),
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

// markMoved records that another entry owns the request. Text from attempts
// that are still running here is dropped, and callers are told where to
// continue.
func (e *Entry) markMoved(rec *Record, owner *peerpb.Member, epoch uint64) {
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
		e.records.markEnded(rec)
	}
	e.metrics.moved.Inc(1)
	e.decisions.add(operator.Decision{
		Kind: operator.DecisionMoved, RequestID: rec.ID, Peer: owner.GetName(), Detail: fmt.Sprintf("epoch=%d", epoch),
	})
	e.log.Info("request moved", "request_id", rec.ID, "peer", owner.GetName(), "epoch", epoch)
}

// handleAnnouncement handles the announcement that another entry owns a
// request. If that claim takes precedence over the one known here, this entry
// stops driving the request and informs the owner that it knew. If the known
// claim takes precedence, it informs the announced owner of that claim.
func (e *Entry) handleAnnouncement(rec *Record, owner *peerpb.Member, epoch uint64) {
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
	switch handover.CompareClaims(o.claim(e.settings.Name), handover.Claim{Epoch: epoch, Owner: owner.GetName()}) {
	case handover.Accept:
		e.yieldOwnership(rec, owner, epoch)
		e.announce(rec.ID, owner, epoch, []*peerpb.Member{known})
	case handover.Correct:
		e.announce(rec.ID, known, o.epoch, []*peerpb.Member{owner})
	}
}

// yieldOwnership gives a request up to its new owner.
func (e *Entry) yieldOwnership(rec *Record, owner *peerpb.Member, epoch uint64) {
	if v, _ := rec.read(0); v.role == peerpb.Role_ROLE_HOLDER {
		rec.followNewOwner(owner, epoch)
		return
	}
	e.driver.step(decision.ReleaseEvent{ID: rec.ID})
	rec.mu.Lock()
	cancel := rec.attempt.cancel
	rec.mu.Unlock()
	e.markMoved(rec, owner, epoch)
	if cancel != nil {
		cancel()
	}
}

// followNewOwner makes a copy follow a new owner, unless the known owner's
// claim takes precedence.
func (r *Record) followNewOwner(owner *peerpb.Member, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := handover.Claim{Epoch: epoch, Owner: owner.GetName()}
	if r.ownership.role != peerpb.Role_ROLE_HOLDER || next.Before(r.ownership.claim("")) {
		return
	}
	r.ownership.owner = owner
	r.ownership.epoch = epoch
	if r.ownership.stopFollowing != nil {
		r.ownership.stopFollowing()
	}
}
