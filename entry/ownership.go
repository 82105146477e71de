package entry

import (
	"context"

	"jaylink/decision"
	"jaylink/peer/peerpb"
)

// become makes this entry the owner of a request that it holds a copy of, and
// drives it. It reports whether the request is driven here under the epoch, or
// one as new. With full set, the copy carries the whole answer so far.
func (e *Entry) become(rec *Record, epoch uint64, full *peerpb.RequestCopy) bool {
	rec.mu.Lock()
	o := &rec.ownership
	if o.role == peerpb.Role_ROLE_OWNER || o.epoch >= epoch {
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
	if rec.done || before.epoch >= epoch {
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
	e.log.Info("request moved", "request_id", rec.ID, "peer", owner.GetName(), "epoch", epoch)
}

// yield gives up a request because another entry owns it under a higher epoch.
func (e *Entry) yield(rec *Record, owner *peerpb.Member, epoch uint64) {
	v, _ := rec.read(0)
	switch {
	case v.epoch >= epoch || v.done:
		return
	case v.role == peerpb.Role_ROLE_HOLDER:
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
	if r.ownership.epoch > epoch || r.ownership.role != peerpb.Role_ROLE_HOLDER {
		return
	}
	r.ownership.owner = owner
	r.ownership.epoch = epoch
	if r.ownership.unfollow != nil {
		r.ownership.unfollow()
	}
}
